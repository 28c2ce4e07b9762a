import { MS_PER_SECOND } from '@lovagearch/common';
import type { ServiceView } from './callerConfiguration.js';
import type { ServiceCapacity } from './serviceGate.js';
import type { EndpointView } from './types.js';

/** Sequences that a runner works on at the same time without a long wait between tokens. */
const SEQUENCES_PER_RUNNER = 16;
/** Calls that an instance of a plain service takes at the same time. */
const CALLS_PER_INSTANCE = 64;
/** Prompts that may wait at a runner, so that it never idles between two reports. */
const QUEUED_PER_RUNNER = 4;

const getSlots = ({ kind }: EndpointView): number =>
  kind === 'runner' ? SEQUENCES_PER_RUNNER + QUEUED_PER_RUNNER : CALLS_PER_INSTANCE;

/**
 * Estimates what one node may start on a service's endpoints: its even part of the free slots.
 *
 * @param nodes live nodes that share the endpoints
 * @returns queue time in milliseconds of the least loaded endpoint, and slots
 */
export const computeServiceCapacity = (
  service: ServiceView | undefined,
  endpoints: readonly EndpointView[],
  nodes: number,
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
    freeSlots: ready.length === 0 ? 1 : freeSlots / Math.max(1, nodes),
  };
};
