import type { Clock } from '@lovagearch/common';

/**
 * Wall clock steps up to this size are treated as corrections, not suspensions, in milliseconds.
 */
const MIN_SUSPENSION_MS = 150;

/**
 * Creates a clock for lease holders that includes time during which the VM was suspended, which the
 * monotonic clock leaves out. A forward step of the wall clock is counted as well, which at worst
 * ends a lease early; a backward step is ignored. Do not use it to wait for another holder's lease
 * to expire, since a forward step would end the wait too soon.
 *
 * @param monotonicClock clock that stops while the VM is suspended
 * @param getUnixMs reads the wall clock
 */
export const createSuspensionClock = (monotonicClock: Clock, getUnixMs: () => number): Clock => {
  let lastMonotonicMs = monotonicClock.nowMs();
  let lastUnixMs = getUnixMs();
  let suspendedMs = 0;
  return {
    nowMs: () => {
      const monotonicMs = monotonicClock.nowMs();
      const unixMs = getUnixMs();
      const missedMs = unixMs - lastUnixMs - (monotonicMs - lastMonotonicMs);
      if (missedMs > MIN_SUSPENSION_MS) suspendedMs += missedMs;
      lastMonotonicMs = monotonicMs;
      lastUnixMs = unixMs;
      return monotonicMs + suspendedMs;
    },
  };
};
