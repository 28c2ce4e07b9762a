/**
 * The command line for operators. It checks and publishes configuration files and queries nodes; it
 * never changes state on a VM and never prints a key.
 */
export * from './commands.js';
export * from './constants.js';
