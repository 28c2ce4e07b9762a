import type { Clock } from '@lovagearch/common';

/** Steps of the time of day below this are corrections, not a suspension, in milliseconds. */
const MIN_SUSPENSION_MS = 150;

/**
 * A clock for the holder of a lease: it also counts time in which the VM was suspended, which the
 * monotonic clock leaves out. A step of the time of day forwards counts as well, which only ends a
 * lease early; a step backwards is ignored. Never use it to wait for another holder's end.
 *
 * @param steady the monotonic clock
 * @param readUnixMs the time of day
 */
export const createSuspensionClock = (steady: Clock, readUnixMs: () => number): Clock => {
  let lastSteadyMs = steady.nowMs();
  let lastUnixMs = readUnixMs();
  let suspendedMs = 0;
  return {
    nowMs: () => {
      const steadyMs = steady.nowMs();
      const unixMs = readUnixMs();
      const missedMs = unixMs - lastUnixMs - (steadyMs - lastSteadyMs);
      if (missedMs > MIN_SUSPENSION_MS) suspendedMs += missedMs;
      lastSteadyMs = steadyMs;
      lastUnixMs = unixMs;
      return steadyMs + suspendedMs;
    },
  };
};
