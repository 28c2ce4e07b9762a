import type { StoreClock } from '@lovagearch/mirror';

/**
 * Returns the age of an event that a row dates by the store's clock, in milliseconds; 0 if the row has no date.
 */
export const computeAgeMs = (
  storeClock: StoreClock | undefined,
  atStoreMs: number | undefined,
): number => {
  const storeMs = storeClock?.nowMs();
  if (storeMs === undefined || atStoreMs === undefined) return 0;
  return Math.max(0, storeMs - atStoreMs);
};

/** Returns the store's time of an event that is `ageMs` old, or an empty list while the clock is unknown. */
export const listStoreTimes = (storeClock: StoreClock | undefined, ageMs: number): number[] => {
  const storeMs = storeClock?.nowMs();
  return storeMs === undefined ? [] : [Math.round(storeMs - ageMs)];
};
