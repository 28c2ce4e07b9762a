/**
 * The operators' command line. It reads files and nodes and publishes configuration; it never
 * changes anything on a VM and never prints a key.
 */
export * from './commands.js';
export * from './constants.js';
