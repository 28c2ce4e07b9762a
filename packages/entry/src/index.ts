/**
 * The entry process: the caller API, the administration API and the duties of a node.
 */
export {};
