/**
 * Loads JSON with comments and checks it against a schema, with the position of each fault. It owns
 * the schema of the settings file that both processes share. It never changes a file, and file
 * content that may be secret never appears in its errors.
 */
export * from './constants.js';
export * from './errors.js';
export * from './fields.js';
export * from './jsonc.js';
export * from './keyFiles.js';
export * from './load.js';
export * from './schema.js';
