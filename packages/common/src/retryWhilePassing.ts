import { setTimeout as waitMs } from 'node:timers/promises';
import type { Result } from 'neverthrow';
import type { Clock } from './clock.js';

export interface RetryOptions<T, E> {
  readonly attempt: () => Promise<Result<T, E>>;
  /** Whether a failure may end by itself, so that another attempt is worth making. */
  readonly isPassing: (error: E) => boolean;
  readonly intervalMs: number;
  /** Longest time for which a passing failure is waited out, in milliseconds; may be `Infinity`. */
  readonly maxWaitMs: number;
  readonly clock: Clock;
  /** Ends the wait; the last failure is returned. */
  readonly signal?: AbortSignal | undefined;
  /** Called once, after the first failure that may pass. */
  readonly onWaiting: (error: E) => void;
}

/** The last result, and the time since the first attempt in milliseconds. */
export interface RetryOutcome<T, E> {
  readonly result: Result<T, E>;
  readonly waitedMs: number;
}

/**
 * Repeats an attempt while it fails for a reason that may pass, at a fixed interval and for a bounded time.
 *
 * @returns the first success, the first failure that doesn't pass, or the failure at the end of the wait
 * @example
 * const { result, waitedMs } = await retryWhilePassing({
 *   attempt: () => readSettings(file),
 *   isPassing: (error) => error.type === 'incomplete',
 *   intervalMs: 100,
 *   maxWaitMs: 3_000,
 *   clock: processClock,
 *   onWaiting: (error) => log.warn(error.reason),
 * });
 */
export const retryWhilePassing = async <T, E>({
  attempt,
  isPassing,
  intervalMs,
  maxWaitMs,
  clock,
  signal,
  onWaiting,
}: RetryOptions<T, E>): Promise<RetryOutcome<T, E>> => {
  const startMs = clock.nowMs();
  // Pauses are counted, as a process that is suspended in one has made no attempt meanwhile.
  const maxPauses = Math.ceil(maxWaitMs / intervalMs);
  for (let pauses = 0; ; pauses++) {
    const result = await attempt();
    const waitedMs = Math.round(clock.nowMs() - startMs);
    const isFinal =
      result.isOk() ||
      !isPassing(result.error) ||
      pauses >= maxPauses ||
      (signal?.aborted ?? false);
    if (isFinal) return { result, waitedMs };
    if (pauses === 0) onWaiting(result.error);
    // An abort ends the pause; the loop ends with the next attempt.
    await waitMs(intervalMs, undefined, { signal }).catch(() => undefined);
  }
};
