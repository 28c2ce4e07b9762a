/**
 * Computes how many loads of a service one region may run at once. The limit belongs to all regions
 * together, whose stewards don't see each other, so each takes a part by its number of runners.
 * Each region gets at least one; with more regions than loads the sum exceeds the limit.
 *
 * @example
 * computeLoadShare(3, new Map([['nairobi', 9], ['mombasa', 4]]), 'nairobi'); // 2
 */
export const computeLoadShare = (
  maxLoads: number,
  runnersByRegion: ReadonlyMap<string, number>,
  region: string,
): number => {
  const regions = [...runnersByRegion].filter(([, runners]) => runners > 0);
  const shares = new Map(regions.map(([name]) => [name, 1]));
  for (let rest = maxLoads - regions.length; rest > 0; rest--) {
    let best: { readonly name: string; readonly perLoad: number } | undefined;
    for (const [name, runners] of regions) {
      const perLoad = runners / ((shares.get(name) ?? 0) + 1);
      const isBetter = best === undefined || perLoad > best.perLoad;
      if (isBetter || (perLoad === best?.perLoad && name < best.name)) best = { name, perLoad };
    }
    if (best === undefined) break;
    shares.set(best.name, (shares.get(best.name) ?? 0) + 1);
  }
  return shares.get(region) ?? 1;
};
