import type { Random } from '@lovagearch/common';
import {
  LEAST_LOADED_COUNT,
  MAX_QUEUE_MS,
  CROSS_REGION_CANDIDATE_COUNT,
  CANDIDATE_SAMPLE_SIZE,
} from './constants.js';
import { computeQueueMs } from './estimates.js';
import type { CachedPrefix, RoutingRequest, RunnerState, ServiceSpeeds } from './types.js';

/** Takes a random sample without replacement. */
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

/** Returns the least loaded of a random sample, so that nodes with equal views choose differently. */
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
 * Selects the runners that a choice considers: holders of a prefix, the least loaded of the own
 * zone and of the region, and the least loaded elsewhere when every runner of the region has a
 * queue beyond the limit.
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
    // A store VM of another region is of use only to a runner there: cache never crosses the link.
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
