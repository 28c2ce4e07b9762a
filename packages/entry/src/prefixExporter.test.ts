import {
  createLogger,
  processClock,
  toId,
  type EndpointId,
  type NodeId,
  type Region,
  type ServiceId,
  type Zone,
} from '@lovagearch/common';
import type { EngineClient, EngineError, ExportResult } from '@lovagearch/engine-client';
import { MemoryMesh, MemoryNetwork } from '@lovagearch/peering';
import { ResultAsync } from 'neverthrow';
import t from 'tap';
import { PrefixExporter } from './prefixExporter.js';
import { DistributedPromptIndex } from './distributedPromptIndex.js';
import type { EndpointDirectory, EndpointView } from './types.js';

const SELF = toId<NodeId>('node-1');
const REGION = toId<Region>('south');
const RUNNER: EndpointView = {
  id: toId<EndpointId>('runner-1'),
  service: toId<ServiceId>('estimator'),
  kind: 'runner',
  url: 'http://runner-1',
  region: REGION,
  zone: toId<Zone>('chiayi'),
  state: 'ready',
  models: [],
  load: { queuedPromptTokens: 0, activeSequences: 0, cacheUse: 0.9, ageMs: 0 },
  boot: 'boot-1',
  confirmedAgeMs: 0,
};
const STORE = { id: toId<EndpointId>('store-1'), url: 'http://store-1', isLive: true };
const DIRECTORY = {
  getEndpoint: () => RUNNER,
  listStores: () => [{ ...STORE, region: REGION, zone: RUNNER.zone }],
} as unknown as EndpointDirectory;

t.test('a stalled export does not delay the export of other prefixes', async (test) => {
  const exported = new Set<string>();
  let resolveAllStarted: () => void = () => undefined;
  const allStarted = new Promise<void>((resolve) => {
    resolveAllStarted = resolve;
  });
  const engine = {
    exportSegment: (_address: unknown, { tailKey }: { readonly tailKey: string }) => {
      exported.add(tailKey);
      if (exported.size === 3) resolveAllStarted();
      // The store VM never responds.
      return new ResultAsync<ExportResult, EngineError>(new Promise(() => {}));
    },
  } as unknown as EngineClient;
  const mesh = MemoryMesh.create(SELF, MemoryNetwork.create());
  const getWatchers = (): NodeId[] => [SELF];
  const listMembers = (): NodeId[] => [SELF];
  const regionOptions = { region: REGION, listRegions: () => [REGION], listMembers };
  const index = DistributedPromptIndex.create({ mesh, ...regionOptions, getWatchers });
  const exporter = PrefixExporter.create({
    mesh,
    engine,
    index,
    directory: DIRECTORY,
    clock: processClock,
    log: createLogger('error'),
    isExportEnabled: true,
    getAddress: ({ url }) => ({ url }),
    getWatchers,
    listRegionMembers: listMembers,
    getStoreTransferRate: () => ({ storeBytesPerSecond: 1e9, kvBytesPerToken: 1 }),
  });
  test.teardown(exporter.stop);
  for (const tailKey of ['aaaaaaaa1', 'bbbbbbbb2', 'cccccccc3']) {
    const placed = { runner: RUNNER.id, account: 'zamu', anchor: tailKey, tailKey, depth: 32 };
    exporter.recordPlacement(placed);
  }
  // The export timer is unreferenced, so it doesn't keep the test process alive.
  const keepAlive = setInterval(() => undefined, 1_000);
  await allStarted;
  clearInterval(keepAlive);
  test.equal(exported.size, 3);
});
