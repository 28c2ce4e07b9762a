import { setTimeout as waitMs } from 'node:timers/promises';

/**
 * Waits for the given time and returns early, without an error, if the signal is aborted.
 *
 * @example
 * await sleepUnlessAborted(250, closeController.signal);
 */
export const sleepUnlessAborted = async (delayMs: number, signal: AbortSignal): Promise<void> => {
  try {
    await waitMs(delayMs, undefined, { signal });
  } catch {
    // The timer only rejects with an AbortError, which ends the wait early.
  }
};
