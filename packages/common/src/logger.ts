import { createConsola, type ConsolaInstance, LogLevels } from 'consola';

export type Logger = ConsolaInstance;

/** Log levels accepted in settings. */
export const LOG_LEVEL_NAMES = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevelName = (typeof LOG_LEVEL_NAMES)[number];

/**
 * Creates the logger of a process. Components derive their own with `logger.withTag('router')`,
 * which prefixes each line with the component's name.
 *
 * @example
 * const log = createLogger('info').withTag('entry');
 * log.info('Listening on 127.0.0.1:8080.');
 */
export const createLogger = (level: LogLevelName): Logger =>
  createConsola({
    level: LogLevels[level],
    // Standard output is reserved for the results of command line tools.
    stdout: process.stderr,
    stderr: process.stderr,
  });
