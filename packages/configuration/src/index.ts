/**
 * Schemas, collection, revisions and merging of the published configuration.
 */
export {};
