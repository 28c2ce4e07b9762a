import { MS_PER_SECOND } from '@lovagearch/common';
import type { ServiceView } from './callerConfiguration.js';
import type { ServiceCapacity } from './serviceConcurrencyLimiter.js';
import type { EndpointView } from './types.js';

/** Sequences that a runner can decode concurrently without a long delay between tokens. */
const SEQUENCES_PER_RUNNER = 16;
/** Calls that an instance of a plain service handles concurrently. */
const CALLS_PER_INSTANCE = 64;
/** Prompts that may be queued at a runner, so that it is never idle between two load reports. */
const QUEUED_PROMPTS_PER_RUNNER = 4;

const getSlots = ({ kind }: EndpointView): number =>
  kind === 'runner' ? SEQUENCES_PER_RUNNER + QUEUED_PROMPTS_PER_RUNNER : CALLS_PER_INSTANCE;

/**
 * Estimates how many requests one node may start on the endpoints of a service: an equal share of
 * their free slots.
 *
 * @param nodeCount number of live nodes that share the endpoints
 * @returns the queue time of the least loaded endpoint in milliseconds, and the free slots
 */
export const computeServiceCapacity = (
  service: ServiceView | undefined,
  endpoints: readonly EndpointView[],
  nodeCount: number,
): ServiceCapacity => {
  const ready = endpoints.filter(({ state }) => state === 'ready');
  let freeSlots = 0;
  let queueMs = Infinity;
  for (const endpoint of ready) {
    const { queuedPromptTokens, activeSequences } = endpoint.load;
    freeSlots += Math.max(0, getSlots(endpoint) - activeSequences);
    const tokensPerSecond = service?.type === 'model' ? service.prefillTokensPerSecond : Infinity;
    queueMs = Math.min(queueMs, (queuedPromptTokens * MS_PER_SECOND) / tokensPerSecond);
  }
  return {
    queueMs: ready.length === 0 ? 0 : queueMs,
    freeSlots: ready.length === 0 ? 1 : freeSlots / Math.max(1, nodeCount),
  };
};
