/**
 * Loads JSON with comments, validates it against a schema and reports the position of each error.
 * Contains the schema of the settings file that both processes use. It never writes files, and its
 * errors never contain values that may be secret.
 */
export * from './constants.js';
export * from './errors.js';
export * from './fields.js';
export * from './jsonc.js';
export * from './keyFiles.js';
export * from './load.js';
export * from './schema.js';
