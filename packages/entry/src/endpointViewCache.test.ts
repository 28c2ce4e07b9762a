import t from 'tap';
import {
  createLogger,
  ManualClock,
  toId,
  type EndpointId,
  type ServiceId,
} from '@lovagearch/common';
import type { EngineClient } from '@lovagearch/engine-client';
import { computeIdHash, LoadTable, type LoadRow } from '@lovagearch/membership';
import type { ServiceClient } from '@lovagearch/service-client';
import { OTHER_REGION_VIEW_TTL_MS, OWN_REGION_VIEW_TTL_MS } from './endpointViewCache.js';
import { ClusterEndpointDirectory } from './clusterEndpointDirectory.js';
import type { EndpointView } from './types.js';

const SERVICE = toId<ServiceId>('estimator');
const RUNNER = toId<EndpointId>('runner-1');
const ROW: LoadRow = {
  endpoint: computeIdHash(RUNNER),
  queuedPromptTokens: 64,
  activeSequences: 1,
  cacheUse: 0,
  state: 'ready',
  versionTag: 1,
};

const createDirectory = () => {
  const clock = ManualClock.create(1_000);
  const table = LoadTable.create();
  const directory = ClusterEndpointDirectory.create({
    identity: { id: toId('node-1'), region: toId('north'), zone: toId('north-1') },
    clock,
    log: createLogger('error'),
    table,
    engines: {} as EngineClient,
    services: {} as ServiceClient,
    toAddress: (_service, url) => ({ url }),
    sendDataPathRow: () => undefined,
  });
  const vm = { role: 'runner', host: '127.0.0.1', ports: { main: 1 }, state: 'live' } as const;
  directory.applyVms([
    { ...vm, id: RUNNER, service: SERVICE, zone: 'north-1', region: 'north' },
    { ...vm, id: 'far', service: SERVICE, zone: 'south-1', region: 'south' },
  ]);
  const apply = (row: LoadRow, seq: number): void => {
    table.applySection({ type: 'full', source: 7, seq, ageMs: 0, rows: [row] }, clock.nowMs());
  };
  const getView = (id: EndpointId = RUNNER): EndpointView =>
    directory.listEndpoints(SERVICE).find((view) => view.id === id)!;
  return { apply, clock, directory, getView };
};

t.test(
  'a cached view is replaced when the state, load, leaving notice or VM list changes',
  async (t2) => {
    const { apply, directory, getView } = createDirectory();
    t2.equal(getView().state, 'loading');
    apply(ROW, 1);
    t2.equal(getView().state, 'ready');
    apply({ ...ROW, queuedPromptTokens: 6_400 }, 2);
    t2.equal(getView().load.queuedPromptTokens, 6_400);
    directory.markLeaving(RUNNER);
    t2.equal(getView().state, 'leaving');
    directory.applyVms([]);
    t2.same(directory.listEndpoints(SERVICE), []);
  },
);

t.test(
  'a cached view expires, so that confirmation ages grow while no message arrives',
  async (t2) => {
    const { apply, clock, getView } = createDirectory();
    const far = toId<EndpointId>('far');
    apply(ROW, 1);
    const [near, distant] = [getView(), getView(far)];
    clock.addMs(OWN_REGION_VIEW_TTL_MS - 1);
    t2.equal(getView(), near);
    clock.addMs(1);
    t2.equal(getView().confirmedAgeMs, OWN_REGION_VIEW_TTL_MS);
    t2.equal(getView(far), distant);
    clock.addMs(OTHER_REGION_VIEW_TTL_MS);
    t2.not(getView(far), distant);
  },
);
