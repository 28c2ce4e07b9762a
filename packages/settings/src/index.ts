/**
 * Loads process settings written in JSON with comments and checks them against a schema.
 */
export {};
