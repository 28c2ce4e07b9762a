import type { EndpointId, Logger, NodeId, Region } from '@lovagearch/common';
import type { EngineAddress } from '@lovagearch/engine-client';
import type { CacheEventHandler } from './cacheEventReader.js';
import type { NodeContext } from './nodeContext.js';
import { PrefixExporter } from './prefixExporter.js';
import { DistributedPromptIndex } from './distributedPromptIndex.js';
import { StoreEvictor } from './storeEvictor.js';
import type { EndpointDirectory, NodeComponent } from './types.js';

/** Retention of segments if no service sets another. */
const DEFAULT_RETENTION_MS = 72 * 3_600_000;

export interface PromptReuseOptions {
  readonly context: NodeContext;
  readonly directory: EndpointDirectory;
  readonly listActive: (region: Region) => readonly NodeId[];
  readonly listRegions: () => readonly Region[];
  readonly getWatchers: (endpoint: EndpointId) => readonly NodeId[];
  readonly toAddress: (service: string, url: string) => EngineAddress;
}

/** A node's components for prompt reuse: the index, prefix exports and store VM maintenance. */
export interface PromptReuse {
  readonly index: DistributedPromptIndex;
  readonly stores: StoreEvictor;
  readonly handleCacheEvents: CacheEventHandler;
  readonly components: readonly NodeComponent[];
}

/** Creates the components that let requests reuse prompts which are already computed. */
export const createPromptReuse = (options: PromptReuseOptions): PromptReuse => {
  const { context, directory, listActive, listRegions, getWatchers, toAddress } = options;
  const { clients, clock, identity, mesh, follower } = context;
  const createLog = (tag: string): Logger => context.log.withTag(tag);
  const { region } = identity;
  const index = DistributedPromptIndex.create({
    mesh,
    region,
    listRegions,
    listMembers: listActive,
    getWatchers,
  });
  const prefixes = PrefixExporter.create({
    mesh,
    engine: clients.engines,
    index,
    directory,
    clock,
    isExportEnabled: context.settings.routingPolicy === 'cost',
    log: createLog('prefixes'),
    getAddress: ({ service, url }) => toAddress(service, url),
    getWatchers,
    listRegionMembers: listActive,
    getStoreTransferRate: (service) => {
      const found = follower.view.getService(service);
      return found?.type === 'model' ? found : undefined;
    },
  });
  const stores = StoreEvictor.create({
    mesh,
    stores: clients.stores,
    index,
    directory,
    clock,
    log: createLog('stores'),
    listRegions,
    getWatchers,
    retentionMs: DEFAULT_RETENTION_MS,
  });
  return {
    index,
    stores,
    handleCacheEvents: (runner, _boot, batch) => prefixes.applyCacheEvents(runner, batch),
    components: [index, prefixes, stores],
  };
};
