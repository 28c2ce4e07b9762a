import { pino } from 'pino';
import type { Clock } from '@lovagearch/common';
import {
  LOG_FLUSH_INTERVAL_MS,
  MAX_LOG_BUFFER_BYTES,
  MAX_LOG_LINES_PER_SECOND,
} from './constants.js';
import { LogLineLimit } from './logLineLimit.js';

/** Fields of a log line. They must not contain prompts, responses or keys. */
export type LogFields = Readonly<
  Record<string, boolean | number | readonly string[] | string | undefined>
>;

/** Structured log on standard output. Writing never blocks; lines over the limits are dropped and counted. */
export interface GatewayLog {
  /** Logs a change of the state of the process. */
  readonly logStateChange: (event: string, fields: LogFields) => void;
  /** Logs an event of a request that proceeds as expected. */
  readonly logRequest: (event: string, fields: LogFields) => void;
  /** Logs, as a warning, a request that was refused, failed or retried, or a fault of the process. */
  readonly logProblem: (event: string, fields: LogFields) => void;
  readonly flush: () => void;
}

/**
 * Creates the log of a gateway process. State changes have a limit per second of their own, so that a burst
 * of requests doesn't suppress them.
 *
 * @param onDropped called with the number of dropped lines
 * @example
 * const log = createGatewayLog('edge-1', processClock, (lines) => metrics.countDropped(lines));
 * log.logStateChange('configuration_applied', { version: 7, rowVersion: 311 });
 */
export const createGatewayLog = (
  nodeName: string,
  clock: Clock,
  onDropped: (lines: number) => void,
): GatewayLog => {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: 8_192,
    maxLength: MAX_LOG_BUFFER_BYTES,
    periodicFlush: LOG_FLUSH_INTERVAL_MS,
  });
  destination.on('drop', () => onDropped(1));
  // Without a listener, an error of a closed standard output would end the process.
  destination.on('error', () => onDropped(1));
  const logger = pino(
    { base: { node: nodeName }, messageKey: 'event', timestamp: pino.stdTimeFunctions.epochTime },
    destination,
  );
  const createLimit = (): LogLineLimit =>
    LogLineLimit.create(MAX_LOG_LINES_PER_SECOND, clock, (suppressed) => {
      logger.warn({ suppressed }, 'log_lines_suppressed');
      onDropped(suppressed);
    });
  const requestLines = createLimit();
  const stateLines = createLimit();
  return {
    logStateChange: (event, fields) => {
      if (stateLines.tryTake()) logger.info(fields, event);
    },
    logRequest: (event, fields) => {
      if (requestLines.tryTake()) logger.info(fields, event);
    },
    logProblem: (event, fields) => {
      if (requestLines.tryTake()) logger.warn(fields, event);
    },
    flush: () => destination.flush(),
  };
};
