import type { EndpointId } from '@lovagearch/common';
import type { EndpointDirectory } from './types.js';

/**
 * Returns a directory whose choices leave out endpoints that crash with any request. Unlike a mark
 * as leaving, which lasts as long as the endpoint, this ends with the time set by containment.
 *
 * @example
 * const rotation = createRotation(directory, (id) => containment.isFaulty(id));
 */
export const createRotation = (
  directory: EndpointDirectory,
  isFaulty: (id: EndpointId) => boolean,
): EndpointDirectory => ({
  listStores: directory.listStores,
  getEndpoint: directory.getEndpoint,
  updateLoad: directory.updateLoad,
  reportAnswer: directory.reportAnswer,
  reportFailure: directory.reportFailure,
  markLeaving: directory.markLeaving,
  verifyFresh: directory.verifyFresh,
  listEndpoints: (service) => directory.listEndpoints(service).filter(({ id }) => !isFaulty(id)),
});
