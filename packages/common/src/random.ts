/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/**
 * Creates a seeded random number generator (mulberry32), so that a run can be reproduced.
 *
 * @example
 * const random = createRandom(42);
 * random(); // always the same first value
 */
export const createRandom = (seed: number): Random => {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

/** Chooses one item, or undefined from an empty list. */
export const chooseItem = <Item>(items: readonly Item[], random: Random): Item | undefined =>
  items[Math.floor(random() * items.length)];
