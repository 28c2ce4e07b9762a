import { processClock } from '@lovagearch/common';
import { setTimeout as waitMs } from 'node:timers/promises';

/** Interval between two checks of a condition, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** A condition did not come true in time. */
export class WaitTimeoutError extends Error {
  constructor(
    readonly condition: string,
    readonly timeoutMs: number,
  ) {
    super(`${condition}: not within ${timeoutMs} ms`);
    this.name = 'WaitTimeoutError';
  }
}

/**
 * Waits until a condition holds. A check that throws counts as not yet true.
 *
 * @returns the time it took, in milliseconds
 */
export const waitUntil = async (
  condition: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<number> => {
  const startMs = processClock.nowMs();
  while (processClock.nowMs() - startMs < timeoutMs) {
    const isTrue = await check().catch(() => false);
    if (isTrue) return processClock.nowMs() - startMs;
    await waitMs(CHECK_INTERVAL_MS);
  }
  throw new WaitTimeoutError(condition, timeoutMs);
};
