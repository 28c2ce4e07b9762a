/**
 * Computes the largest share that an account may use: all accounts get what they ask for up to this share, and what
 * some don't ask for is lent to the others.
 *
 * @returns the share in the unit of the capacity; infinite if the capacity suffices for all demands
 * @example
 * computeFairShare([10, 10, 100], 60); // 40
 */
export const computeFairShare = (demands: readonly number[], capacity: number): number => {
  const sorted = [...demands].sort((one, other) => one - other);
  let left = capacity;
  for (const [index, demand] of sorted.entries()) {
    const share = left / (sorted.length - index);
    if (demand > share) return share;
    left -= demand;
  }
  return Number.POSITIVE_INFINITY;
};
