/**
 * Failure detection between nodes, endpoint health and dissemination of load.
 */
export {};
