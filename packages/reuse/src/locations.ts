import { z } from 'zod';

/** A place where a prefix is cached: a runner's memory or a segment on a store VM. */
export const locationSchema = z.object({
  kind: z.enum(['runner', 'store']),
  holder: z.string().max(128),
  region: z.string().max(64),
  depth: z.number().int().positive(),
  tailKey: z.string().max(64),
  sha256: z.string().max(64),
  boot: z.string().max(64),
});
export type Location = z.infer<typeof locationSchema>;

/**
 * Selects the locations that hold a prefix of a chain, deepest first and one for each holder. The
 * key at a location's depth has to equal the chain's own key, since prompts that diverge after an
 * anchor share it.
 */
export const selectMatchingLocations = <Candidate extends Location>(
  chain: readonly string[],
  locations: readonly Candidate[],
): Candidate[] => {
  const byHolder = new Map<string, Candidate>();
  for (const location of locations) {
    if (chain[location.depth - 1] !== location.tailKey) continue;
    const known = byHolder.get(location.holder);
    if (known === undefined || known.depth < location.depth) {
      byHolder.set(location.holder, location);
    }
  }
  return [...byHolder.values()].sort((a, b) => b.depth - a.depth);
};
