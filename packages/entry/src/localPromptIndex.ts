import type { EndpointId, Region } from '@lovagearch/common';
import {
  getIndexAnchor,
  IndexShard,
  listDeepestAnchors,
  type Location,
  selectMatchingLocations,
} from '@lovagearch/reuse';
import type { PromptIndex, PromptLocation } from './types.js';

const toPromptLocation = (location: Location): PromptLocation => ({
  ...location,
  holder: location.holder as EndpointId,
  region: location.region as Region,
});

/** A prompt index of one node alone, for an entry process without peers. */
export class LocalPromptIndex implements PromptIndex {
  private readonly shard = IndexShard.create();

  static create(): LocalPromptIndex {
    return new LocalPromptIndex();
  }

  readonly lookup = async (chain: readonly string[]): Promise<readonly PromptLocation[]> => {
    const found = listDeepestAnchors(chain).flatMap(({ key }) => [...this.shard.get(key)]);
    return selectMatchingLocations(chain, found).map(toPromptLocation);
  };

  readonly reportPlacement = (chain: readonly string[], location: PromptLocation): void => {
    const anchor = getIndexAnchor(chain);
    if (anchor !== undefined) this.shard.add(anchor.key, location);
  };

  /** A node alone watches no store VM. */
  readonly reportImport = (): void => undefined;

  readonly removeLocation = (chain: readonly string[], location: PromptLocation): void => {
    for (const { key } of listDeepestAnchors(chain)) {
      this.shard.remove(key, location.holder, location.tailKey);
    }
  };
}
