import type { Random } from '@lovagearch/common';
import {
  LEAST_LOADED_COUNT,
  MAX_QUEUE_MS,
  CROSS_REGION_CANDIDATE_COUNT,
  CANDIDATE_SAMPLE_SIZE,
} from './constants.js';
import { computeQueueMs } from './estimates.js';
import type { CachedPrefix, RoutingRequest, RunnerState, ServiceSpeeds } from './types.js';

/** Draws a random sample without replacement. */
const sampleWithoutReplacement = <Item>(
  items: readonly Item[],
  size: number,
  random: Random,
): Item[] => {
  if (items.length <= size) return [...items];
  const pool = [...items];
  const sample: Item[] = [];
  for (let count = 0; count < size; count++) {
    const [taken] = pool.splice(Math.floor(random() * pool.length), 1);
    if (taken !== undefined) sample.push(taken);
  }
  return sample;
};

/** Returns the least loaded runners of a random sample; sampling keeps nodes with equal views apart. */
const selectLeastLoaded = (
  runners: readonly RunnerState[],
  count: number,
  speeds: ServiceSpeeds,
  random: Random,
): RunnerState[] =>
  sampleWithoutReplacement(runners, CANDIDATE_SAMPLE_SIZE, random)
    .map((runner) => ({ runner, queueMs: computeQueueMs(runner, speeds) }))
    .sort((a, b) => a.queueMs - b.queueMs)
    .slice(0, count)
    .map(({ runner }) => runner);

/**
 * Selects the candidate runners of a request: the holders of a cached prefix, the least loaded runners
 * of the node's zone and region, and those of other regions if the queue of every runner in the region
 * exceeds the limit.
 */
export const selectCandidates = (
  runners: readonly RunnerState[],
  prefixes: readonly CachedPrefix[],
  request: RoutingRequest,
  speeds: ServiceSpeeds,
  random: Random,
): RunnerState[] => {
  const holders = new Set(prefixes.map(({ holder }) => holder));
  const inRegion = runners.filter(({ region }) => region === request.region);
  const inZone = inRegion.filter(({ zone }) => zone === request.zone);
  const inOtherRegions = runners.filter(({ region }) => region !== request.region);
  const isRegionFull = inRegion.every((runner) => computeQueueMs(runner, speeds) > MAX_QUEUE_MS);
  const selected = new Map<string, RunnerState>();
  const groups = [
    runners.filter(({ id }) => holders.has(id)),
    selectLeastLoaded(inZone, LEAST_LOADED_COUNT, speeds, random),
    selectLeastLoaded(inRegion, LEAST_LOADED_COUNT, speeds, random),
    isRegionFull
      ? selectLeastLoaded(inOtherRegions, CROSS_REGION_CANDIDATE_COUNT, speeds, random)
      : [],
    // Only runners of its own region can import from a store VM: KV blocks are not transferred between
    // regions.
    prefixes
      .filter(({ kind, region }) => kind === 'store' && region !== request.region)
      .flatMap((prefix) =>
        selectLeastLoaded(
          inOtherRegions.filter(({ region }) => region === prefix.region),
          1,
          speeds,
          random,
        ),
      ),
  ];
  for (const runner of groups.flat()) selected.set(runner.id, runner);
  return [...selected.values()];
};
