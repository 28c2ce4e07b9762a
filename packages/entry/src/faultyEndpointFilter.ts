import type { EndpointId } from '@lovagearch/common';
import type { EndpointDirectory } from './types.js';

/**
 * Returns a directory that does not list faulty endpoints, which crash with any request. Unlike a
 * leaving endpoint, which never comes back, a faulty one is listed again after the time that
 * containment sets.
 *
 * @example
 * const usable = excludeFaultyEndpoints(directory, (id) => containment.isFaulty(id));
 */
export const excludeFaultyEndpoints = (
  directory: EndpointDirectory,
  isFaulty: (id: EndpointId) => boolean,
): EndpointDirectory => ({
  listStores: directory.listStores,
  getEndpoint: directory.getEndpoint,
  updateLoad: directory.updateLoad,
  reportResponse: directory.reportResponse,
  reportFailure: directory.reportFailure,
  markLeaving: directory.markLeaving,
  verifyReady: directory.verifyReady,
  listEndpoints: (service) => directory.listEndpoints(service).filter(({ id }) => !isFaulty(id)),
});
