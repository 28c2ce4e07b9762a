import {
  BoundedMap,
  getRendezvousOwners,
  TOKENS_PER_BLOCK,
  type AccountId,
  type EndpointId,
  type NodeId,
  type Region,
} from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import {
  getIndexAnchor,
  IndexShard,
  listDeepestAnchors,
  selectMatchingLocations,
  type Location,
} from '@lovagearch/reuse';
import {
  handoverSchema,
  INDEX_TOPICS,
  lookupReplySchema,
  lookupSchema,
  MAX_ENTRIES_PER_HANDOVER,
  removeHolderSchema,
  removeSchema,
  reportSchema,
} from './promptIndexMessages.js';
import type { NodeComponent, PromptIndex, PromptLocation } from './types.js';

/** Timeout of a lookup in this node's region, in milliseconds. */
const LOCAL_LOOKUP_TIMEOUT_MS = 15;
/** Timeout of a lookup in another region, to which the round trip is 16 ms. */
const REMOTE_LOOKUP_TIMEOUT_MS = 40;
/** Delay after which the second owner is queried as well. */
const HEDGE_DELAY_MS = 6;
/** Minimum tokens of a prompt for a lookup in other regions. */
const MIN_REMOTE_LOOKUP_TOKENS = 2_048;
/** Nodes of a region that store the locations of an anchor. */
const OWNERS_PER_ANCHOR = 2;
/** Maximum anchors whose reported locations are cached for prompts that return to this node. */
const MAX_RECENT_ANCHORS = 2_048;
const HANDOVER_TIMEOUT_MS = 2_000;

export interface DistributedPromptIndexOptions {
  readonly mesh: PeerMesh;
  readonly region: Region;
  readonly listRegions: () => readonly Region[];
  /** Live members of a region, including this node in its own region. */
  readonly listMembers: (region: Region) => readonly NodeId[];
  /** The nodes that watch an endpoint. */
  readonly getWatchers: (endpoint: EndpointId) => readonly NodeId[];
}

const toPromptLocation = (location: Location): PromptLocation => ({
  ...location,
  holder: location.holder as EndpointId,
  region: location.region as Region,
});

/** Resolves with the first non-empty list, or with an empty one once all lookups have settled. */
const getFirstNonEmpty = async (
  pendingLookups: readonly Promise<readonly Location[]>[],
): Promise<readonly Location[]> => {
  const nonEmptyResults = pendingLookups.map(async (attempt) => {
    const locations = await attempt;
    if (locations.length === 0) throw new RangeError('no locations');
    return locations;
  });
  try {
    return await Promise.any(nonEmptyResults);
  } catch {
    return [];
  }
};

/**
 * The prompt index, sharded over the nodes of each region: stores this node's shard and queries and
 * updates the owners of other anchors. Lookups are bounded by a timeout and may return outdated
 * locations.
 */
export class DistributedPromptIndex implements PromptIndex, NodeComponent {
  private readonly shard = IndexShard.create();

  private readonly recentLocations = BoundedMap.create<string, readonly Location[]>(
    MAX_RECENT_ANCHORS,
  );

  private constructor(private readonly options: DistributedPromptIndexOptions) {}

  static create(options: DistributedPromptIndexOptions): DistributedPromptIndex {
    const node = new DistributedPromptIndex(options);
    node.registerHandlers();
    return node;
  }

  /** Number of anchors in this node's shard. */
  get shardSize(): number {
    return this.shard.size;
  }

  readonly lookup = async (chain: readonly string[]): Promise<readonly PromptLocation[]> => {
    const anchors = listDeepestAnchors(chain).map(({ key }) => key);
    if (anchors.length === 0) return [];
    const { region, listRegions } = this.options;
    const local = await this.lookupRegion(region, anchors, LOCAL_LOOKUP_TIMEOUT_MS);
    const known = selectMatchingLocations(chain, [...this.getRecentLocations(anchors), ...local]);
    const isShortPrompt = chain.length * TOKENS_PER_BLOCK < MIN_REMOTE_LOOKUP_TOKENS;
    if (isShortPrompt || (known[0]?.depth ?? 0) * 2 >= chain.length)
      return known.map(toPromptLocation);
    const others = listRegions().filter((other) => other !== region);
    const remote = await Promise.all(
      others.map((other) => this.lookupRegion(other, anchors, REMOTE_LOOKUP_TIMEOUT_MS)),
    );
    return selectMatchingLocations(chain, [...known, ...remote.flat()]).map(toPromptLocation);
  };

  readonly reportPlacement = (
    chain: readonly string[],
    location: PromptLocation,
    account: AccountId,
    reusedDepth: number,
  ): void => {
    const anchor = getIndexAnchor(chain.slice(0, location.depth));
    if (anchor === undefined) return;
    this.report(anchor.key, location);
    if (location.kind === 'store') return;
    const extendedTailKey = reusedDepth > 0 ? chain[reusedDepth - 1] : undefined;
    const placed = {
      runner: location.holder,
      account,
      anchor: anchor.key,
      tailKey: location.tailKey,
      depth: location.depth,
      ...(extendedTailKey === undefined ? {} : { extendedTailKey }),
    };
    for (const watcher of this.options.getWatchers(location.holder)) {
      this.options.mesh.send(watcher, INDEX_TOPICS.placed, placed);
    }
  };

  readonly reportImport = (store: EndpointId, segmentId: string): void => {
    for (const watcher of this.options.getWatchers(store)) {
      this.options.mesh.send(watcher, INDEX_TOPICS.imported, { store, segmentId });
    }
  };

  readonly removeLocation = (chain: readonly string[], location: PromptLocation): void => {
    const anchor = getIndexAnchor(chain.slice(0, location.depth));
    if (anchor !== undefined) {
      this.remove(anchor.key, location.region, location.holder, location.tailKey);
    }
  };

  /** Adds a location on the owners of its anchor in the location's region. */
  report(anchor: string, location: Location): void {
    const known = this.recentLocations.peek(anchor) ?? [];
    const others = known.filter(({ holder }) => holder !== location.holder);
    this.recentLocations.set(anchor, [location, ...others].slice(0, OWNERS_PER_ANCHOR));
    for (const owner of this.getOwners(anchor, location.region as Region)) {
      if (owner === this.options.mesh.self) this.shard.add(anchor, location);
      else this.options.mesh.send(owner, INDEX_TOPICS.report, { anchor, location });
    }
  }

  /** Removes a location on the owners of its anchor. */
  remove(anchor: string, region: Region, holder: string, tailKey: string): void {
    this.removeRecentLocation(anchor, holder);
    for (const owner of this.getOwners(anchor, region)) {
      if (owner === this.options.mesh.self) this.shard.remove(anchor, holder, tailKey);
      else this.options.mesh.send(owner, INDEX_TOPICS.remove, { anchor, holder, tailKey });
    }
  }

  /** Removes all locations of a holder from every shard of its region. */
  removeHolder(region: Region, holder: string): void {
    for (const member of this.options.listMembers(region)) {
      if (member === this.options.mesh.self) this.shard.removeHolder(holder);
      else this.options.mesh.send(member, INDEX_TOPICS.removeHolder, { holder });
    }
  }

  /** Hands over entries that arrived after the drain began. */
  readonly stop = async (): Promise<void> => this.handOverEntries();

  /** Hands the entries of this shard over to their next owners before this node leaves. */
  async handOverEntries(): Promise<void> {
    const { mesh, region, listMembers } = this.options;
    const others = listMembers(region).filter((member) => member !== mesh.self);
    const byOwner = new Map<NodeId, ReturnType<IndexShard['list']>>();
    for (const entry of this.shard.list()) {
      for (const owner of getRendezvousOwners(entry.anchor, others, OWNERS_PER_ANCHOR)) {
        byOwner.set(owner, [...(byOwner.get(owner) ?? []), entry]);
      }
    }
    for (const [owner, entries] of byOwner) {
      for (let start = 0; start < entries.length; start += MAX_ENTRIES_PER_HANDOVER) {
        const page = entries.slice(start, start + MAX_ENTRIES_PER_HANDOVER);
        await mesh.request(owner, INDEX_TOPICS.handover, { entries: page }, HANDOVER_TIMEOUT_MS);
      }
    }
  }

  private registerHandlers(): void {
    const { mesh } = this.options;
    mesh.registerHandler(INDEX_TOPICS.lookup, lookupSchema, (_from, { anchors }) => ({
      locations: this.getShardLocations(anchors),
    }));
    mesh.registerHandler(INDEX_TOPICS.report, reportSchema, (_from, { anchor, location }) => {
      this.shard.add(anchor, location);
    });
    mesh.registerHandler(INDEX_TOPICS.remove, removeSchema, (_from, removal) => {
      this.shard.remove(removal.anchor, removal.holder, removal.tailKey);
      this.removeRecentLocation(removal.anchor, removal.holder);
    });
    mesh.registerHandler(INDEX_TOPICS.removeHolder, removeHolderSchema, (_from, { holder }) => {
      this.shard.removeHolder(holder);
    });
    mesh.registerHandler(INDEX_TOPICS.handover, handoverSchema, (_from, { entries }) => {
      for (const { anchor, locations } of entries) {
        for (const location of locations) this.shard.add(anchor, location);
      }
      return {};
    });
  }

  private getOwners(anchor: string, region: Region): NodeId[] {
    return getRendezvousOwners(anchor, this.options.listMembers(region), OWNERS_PER_ANCHOR);
  }

  private getRecentLocations(anchors: readonly string[]): Location[] {
    return anchors.flatMap((anchor) => [...(this.recentLocations.get(anchor) ?? [])]);
  }

  private removeRecentLocation(anchor: string, holder: string): void {
    const known = this.recentLocations.peek(anchor);
    if (known === undefined) return;
    this.recentLocations.set(
      anchor,
      known.filter((location) => location.holder !== holder),
    );
  }

  private getShardLocations(anchors: readonly string[]): Location[] {
    return anchors.flatMap((anchor) => [...this.shard.get(anchor)]);
  }

  private async lookupRegion(
    region: Region,
    anchors: readonly string[],
    timeoutMs: number,
  ): Promise<readonly Location[]> {
    const byFirstOwner = new Map<NodeId, { second: NodeId | undefined; keys: string[] }>();
    for (const anchor of anchors) {
      const [first, second] = this.getOwners(anchor, region);
      if (first === undefined) continue;
      const group = byFirstOwner.get(first) ?? { second, keys: [] };
      group.keys.push(anchor);
      byFirstOwner.set(first, group);
    }
    const lookups = [...byFirstOwner].map(([first, { second, keys }]) =>
      this.lookupOwners(first, second, keys, timeoutMs),
    );
    return (await Promise.all(lookups)).flat();
  }

  /** Queries the first owner, and the second one as well if the first is slow, fails or has none. */
  private async lookupOwners(
    first: NodeId,
    second: NodeId | undefined,
    anchors: readonly string[],
    timeoutMs: number,
  ): Promise<readonly Location[]> {
    const { self } = this.options.mesh;
    if (first === self || second === self) {
      const ownLocations = this.getShardLocations(anchors);
      const other = first === self ? second : first;
      // A node that has just become an owner has an empty shard; the other owner may have locations.
      return ownLocations.length > 0 || other === undefined
        ? ownLocations
        : this.lookupOwner(other, anchors, timeoutMs);
    }
    const primary = this.lookupOwner(first, anchors, timeoutMs);
    if (second === undefined) return primary;
    let hedgeTimer: NodeJS.Timeout | undefined;
    const secondary = new Promise<readonly Location[]>((resolve) => {
      const lookupSecond = (): void => {
        clearTimeout(hedgeTimer);
        resolve(this.lookupOwner(second, anchors, timeoutMs - HEDGE_DELAY_MS));
      };
      hedgeTimer = setTimeout(lookupSecond, HEDGE_DELAY_MS);
      primary
        .then((locations) => {
          if (locations.length === 0) lookupSecond();
        })
        .catch(lookupSecond);
    });
    const locations = await getFirstNonEmpty([primary, secondary]);
    clearTimeout(hedgeTimer);
    return locations;
  }

  private async lookupOwner(
    owner: NodeId,
    anchors: readonly string[],
    timeoutMs: number,
  ): Promise<readonly Location[]> {
    const reply = await this.options.mesh.request(
      owner,
      INDEX_TOPICS.lookup,
      { anchors },
      timeoutMs,
    );
    if (reply.isErr()) return [];
    const parsed = lookupReplySchema.safeParse(reply.value);
    return parsed.success ? parsed.data.locations : [];
  }
}
