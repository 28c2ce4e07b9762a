import { createConsola, type ConsolaInstance, LogLevels } from 'consola';

export type Logger = ConsolaInstance;

/** Levels that settings may name. */
export const LOG_LEVEL_NAMES = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevelName = (typeof LOG_LEVEL_NAMES)[number];

/**
 * Creates the logger of a process. Parts take their own with `logger.withTag('router')`, which
 * prefixes each line with the part's name.
 *
 * @example
 * const log = createLogger('info').withTag('entry');
 * log.info('Listening on 127.0.0.1:8080.');
 */
export const createLogger = (level: LogLevelName): Logger =>
  createConsola({
    level: LogLevels[level],
    // Standard output belongs to the results of command line tools.
    stdout: process.stderr,
    stderr: process.stderr,
  });
