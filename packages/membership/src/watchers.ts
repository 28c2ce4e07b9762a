import { getRendezvousOwners, type EndpointId, type NodeId } from '@lovagearch/common';

/** Number of nodes that poll the state of each endpoint (its watchers). */
export const WATCHERS_PER_ENDPOINT = 2;

/**
 * Computes the watchers of an endpoint, in order of rank.
 *
 * @param members active nodes of the endpoint's region
 * @example
 * computeWatchers('runner-3', ['node-a', 'node-b', 'node-c']); // ['node-c', 'node-a']
 */
export const computeWatchers = (endpoint: EndpointId, members: readonly NodeId[]): NodeId[] =>
  getRendezvousOwners(`watch/${endpoint}`, members, WATCHERS_PER_ENDPOINT);

/**
 * Returns this node's rank among the watchers of an endpoint (0 or 1), or undefined if it is not
 * one.
 */
export const getWatcherRank = (
  endpoint: EndpointId,
  members: readonly NodeId[],
  self: NodeId,
): number | undefined => {
  const rank = computeWatchers(endpoint, members).indexOf(self);
  return rank < 0 ? undefined : rank;
};
