import { setTimeout as waitMs } from 'node:timers/promises';

/**
 * Waits for a time, or less if the signal is aborted.
 *
 * @example
 * await waitPause(250, closing.signal);
 */
export const waitPause = async (pauseMs: number, signal: AbortSignal): Promise<void> => {
  try {
    await waitMs(pauseMs, undefined, { signal });
  } catch {
    // The only error of the timer is the abort, which ends the pause early.
  }
};
