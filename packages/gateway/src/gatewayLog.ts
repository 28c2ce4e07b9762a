import { pino } from 'pino';
import type { Clock } from '@lovagearch/common';
import { MS_PER_SECOND } from '@lovagearch/common';
import {
  LOG_FLUSH_INTERVAL_MS,
  MAX_LOG_BUFFER_BYTES,
  MAX_LOG_LINES_PER_SECOND,
} from './constants.js';

/** Values of a log line; never a prompt, an answer or a key. */
export type LogFields = Readonly<
  Record<string, boolean | number | readonly string[] | string | undefined>
>;

/** Structured lines on standard output. Writing never blocks; lines beyond the bounds are counted. */
export interface GatewayLog {
  /** Logs a change of what the process believes or does. */
  readonly logStateChange: (event: string, fields: LogFields) => void;
  /** Logs a decision on a request that went as expected; bounded in lines a second. */
  readonly logRequest: (event: string, fields: LogFields) => void;
  /** Logs a decision on a request that was refused, failed or repeated. */
  readonly logProblem: (event: string, fields: LogFields) => void;
  readonly flush: () => void;
}

/**
 * Creates the log of a process.
 *
 * @param onDropped called with the number of lines that were not written
 * @example
 * const log = createDecisionLog('edge-1', processClock, (lines) => metrics.countDropped(lines));
 * log.recordChange('configuration_applied', { version: 7, rowVersion: 311 });
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
  // Standard output that is closed must not end the process.
  destination.on('error', () => onDropped(1));
  const logger = pino(
    { base: { node: nodeName }, messageKey: 'event', timestamp: pino.stdTimeFunctions.epochTime },
    destination,
  );
  let currentSecond = 0;
  let lines = 0;
  let suppressed = 0;
  const tryCountLine = (): boolean => {
    const current = Math.floor(clock.nowMs() / MS_PER_SECOND);
    if (current !== currentSecond) {
      if (suppressed > 0) {
        logger.warn({ suppressed }, 'log_lines_suppressed');
        onDropped(suppressed);
      }
      currentSecond = current;
      lines = 0;
      suppressed = 0;
    }
    lines += 1;
    if (lines <= MAX_LOG_LINES_PER_SECOND) return true;
    suppressed += 1;
    return false;
  };
  return {
    logStateChange: (event, fields) => {
      if (tryCountLine()) logger.info(fields, event);
    },
    logRequest: (event, fields) => {
      if (tryCountLine()) logger.info(fields, event);
    },
    logProblem: (event, fields) => {
      if (tryCountLine()) logger.warn(fields, event);
    },
    flush: () => destination.flush(),
  };
};
