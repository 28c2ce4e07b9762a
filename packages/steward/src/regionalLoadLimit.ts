/**
 * Computes how many weight loads of a service may run concurrently in one region. The service's
 * limit applies to all regions together, but their stewards don't communicate, so each computes the
 * same split in proportion to the regions' runner counts. Every region gets at least one load; with
 * more regions than loads the sum exceeds the limit.
 *
 * @example
 * computeRegionalLoadLimit(3, new Map([['nairobi', 9], ['mombasa', 4]]), 'nairobi'); // 2
 */
export const computeRegionalLoadLimit = (
  maxLoads: number,
  runnersByRegion: ReadonlyMap<string, number>,
  region: string,
): number => {
  const regions = [...runnersByRegion].filter(([, runners]) => runners > 0);
  const limits = new Map(regions.map(([name]) => [name, 1]));
  for (let unassignedLoads = maxLoads - regions.length; unassignedLoads > 0; unassignedLoads--) {
    let best: { readonly name: string; readonly perLoad: number } | undefined;
    for (const [name, runners] of regions) {
      const perLoad = runners / ((limits.get(name) ?? 0) + 1);
      const isBetter = best === undefined || perLoad > best.perLoad;
      if (isBetter || (perLoad === best?.perLoad && name < best.name)) best = { name, perLoad };
    }
    if (best === undefined) break;
    limits.set(best.name, (limits.get(best.name) ?? 0) + 1);
  }
  return limits.get(region) ?? 1;
};
