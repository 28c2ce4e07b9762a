import type { ModelId, Random, WeightVersion } from '@lovagearch/common';
import type { EndpointView } from './types.js';

/**
 * Chooses the weight version of a new request. During a weight swap, requests are distributed in
 * proportion to the runners that are ready with each version, so that the swap doesn't reduce
 * capacity. Once all ready runners have the configured version, only that version is chosen.
 *
 * @param configured version in the active configuration
 * @param endpoints endpoints of the model's service
 * @example
 * chooseWeightVersion('crop-8b', 'v2', directory.listEndpoints(service), random);
 */
export const chooseWeightVersion = (
  model: ModelId,
  configured: WeightVersion,
  endpoints: readonly EndpointView[],
  random: Random,
): WeightVersion => {
  const versions: WeightVersion[] = [];
  for (const endpoint of endpoints) {
    if (endpoint.state !== 'ready') continue;
    for (const loaded of endpoint.models) {
      if (loaded.model === model) versions.push(loaded.weightVersion);
    }
  }
  const hasOnlyConfigured = versions.every((version) => version === configured);
  if (hasOnlyConfigured) return configured;
  return versions[Math.floor(random() * versions.length)] ?? configured;
};
