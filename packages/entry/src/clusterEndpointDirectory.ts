import {
  toId,
  type Clock,
  type EndpointId,
  type Logger,
  type ModelId,
  type Region,
  type ServiceId,
  type WeightVersion,
  type Zone,
} from '@lovagearch/common';
import type { EngineAddress, EngineClient, EngineLoad } from '@lovagearch/engine-client';
import {
  MAX_ENDPOINTS,
  type LoadRow,
  type LoadTable,
  type RowState,
  type ObservedRow,
} from '@lovagearch/membership';
import type { Vm } from '@lovagearch/platform-client';
import type { ServiceClient } from '@lovagearch/service-client';
import {
  EndpointViewCache,
  OTHER_REGION_VIEW_TTL_MS,
  OWN_REGION_VIEW_TTL_MS,
} from './endpointViewCache.js';
import {
  createDataPathRow,
  createRecord,
  createView,
  findLiveRow,
  getVmUrl,
  type EndpointRecord,
  type LocalContact,
} from './endpointRecord.js';
import type { EndpointDetails } from './nodeTopics.js';
import type { EndpointDirectory, EndpointView, NodeIdentity, StoreView } from './types.js';

/** Shortest interval between data path rows for the same endpoint and state, in milliseconds. */
const DATA_PATH_ROW_INTERVAL_MS = 1_000;

export interface ClusterEndpointDirectoryOptions {
  readonly identity: NodeIdentity;
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: LoadTable;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly toAddress: (service: ServiceId, url: string) => EngineAddress;
  /** Sends all nodes a state that this node observed on the data path. */
  readonly sendDataPathRow: (row: LoadRow) => void;
}

const toStoreView = (vm: Vm): StoreView => ({
  id: toId<EndpointId>(vm.id),
  url: getVmUrl(vm),
  region: toId<Region>(vm.region),
  zone: toId<Zone>(vm.zone),
  isLive: vm.state === 'live',
});

/** Tracks the load and state of the VM list's endpoints from watchers and the data path. */
export class ClusterEndpointDirectory implements EndpointDirectory {
  private records = new Map<EndpointId, EndpointRecord>();

  private idsByService = new Map<ServiceId, EndpointId[]>();

  private idsByHash = new Map<number, EndpointId>();

  private stores: readonly StoreView[] = [];

  private readonly pendingChecks = new Map<EndpointId, Promise<boolean>>();

  private readonly views = EndpointViewCache.create();

  private readonly log: Logger;

  private constructor(private readonly options: ClusterEndpointDirectoryOptions) {
    this.log = options.log.withTag('endpoints');
  }

  static create(options: ClusterEndpointDirectoryOptions): ClusterEndpointDirectory {
    return new ClusterEndpointDirectory(options);
  }

  readonly listEndpoints = (service: ServiceId): readonly EndpointView[] => {
    const nowMs = this.options.clock.nowMs();
    const views: EndpointView[] = [];
    for (const id of this.idsByService.get(service) ?? []) {
      const record = this.records.get(id);
      if (record !== undefined) views.push(this.getCachedView(record, nowMs));
    }
    return views;
  };

  readonly listStores = (region: Region): readonly StoreView[] =>
    this.stores.filter((store) => store.region === region);

  readonly getEndpoint = (id: EndpointId): EndpointView | undefined => {
    const record = this.records.get(id);
    if (record === undefined) return undefined;
    const { clock, identity } = this.options;
    return createView(record, this.getObservations(record), identity.region, clock.nowMs());
  };

  /** Returns views of all endpoints, for the administration API. */
  readonly listAll = (): EndpointView[] =>
    [...this.records.keys()].flatMap((id) => this.getEndpoint(id) ?? []);

  readonly updateLoad = (id: EndpointId, load: EngineLoad): void => {
    const nowMs = this.options.clock.nowMs();
    this.updateLocalContact(id, { load, loadReceivedMs: nowMs, lastResponseMs: nowMs });
    this.records.get(id)?.recoveryGate.recordResult(true);
  };

  readonly reportResponse = (id: EndpointId): void => {
    this.updateLocalContact(id, { lastResponseMs: this.options.clock.nowMs() });
    this.records.get(id)?.recoveryGate.recordResult(true);
  };

  readonly reportFailure = (id: EndpointId): void => {
    const nowMs = this.options.clock.nowMs();
    const record = this.records.get(id);
    record?.recoveryGate.recordResult(false);
    const lastMs = record?.localContact.lastFailureMs ?? -Infinity;
    this.updateLocalContact(id, { lastFailureMs: nowMs });
    if (nowMs - lastMs >= DATA_PATH_ROW_INTERVAL_MS) this.sendDataPathRow(id, 'failed');
  };

  readonly markLeaving = (id: EndpointId): void => {
    const nowMs = this.options.clock.nowMs();
    const lastMs = this.records.get(id)?.localContact.leavingNoticeMs ?? -Infinity;
    this.updateLocalContact(id, { leavingNoticeMs: nowMs });
    if (nowMs - lastMs >= DATA_PATH_ROW_INTERVAL_MS) this.sendDataPathRow(id, 'leaving');
  };

  readonly verifyReady = async (id: EndpointId): Promise<boolean> => {
    const record = this.records.get(id);
    if (record === undefined) return false;
    if (!record.recoveryGate.tryAcquireTrial(this.options.clock.nowMs())) return false;
    const pending = this.pendingChecks.get(id);
    if (pending !== undefined) return pending;
    const check = this.checkEndpoint(record).finally(() => this.pendingChecks.delete(id));
    this.pendingChecks.set(id, check);
    return check;
  };

  /** Replaces the endpoints and store VMs with those of the VM list. */
  readonly applyVms = (vms: readonly Vm[]): void => {
    const records = new Map<EndpointId, EndpointRecord>();
    this.idsByService = new Map();
    this.idsByHash = new Map();
    for (const vm of vms) {
      if (vm.role !== 'runner' && vm.role !== 'service') continue;
      if (records.size >= MAX_ENDPOINTS) break;
      const record = createRecord(vm, vm.role, this.records.get(toId<EndpointId>(vm.id)));
      const other = this.idsByHash.get(record.hash);
      if (other !== undefined)
        this.log.warn(`Endpoints ${other} and ${record.id} have the same hash.`);
      records.set(record.id, record);
      this.idsByHash.set(record.hash, record.id);
      const serviceIds = this.idsByService.get(record.service) ?? [];
      serviceIds.push(record.id);
      this.idsByService.set(record.service, serviceIds);
    }
    this.records = records;
    this.views.clear();
    this.stores = vms.filter(({ role }) => role === 'store').map(toStoreView);
  };

  /** Records the models and the boot id of a runner. */
  readonly applyDetails = (id: EndpointId, details: EndpointDetails): void => {
    const record = this.records.get(id);
    if (record !== undefined) this.records.set(id, { ...record, details });
  };

  readonly listRecords = (): readonly EndpointRecord[] => [...this.records.values()];

  readonly getRecord = (id: EndpointId): EndpointRecord | undefined => this.records.get(id);

  /** Returns the region of an endpoint or a store VM. */
  readonly getRegion = (id: EndpointId): Region | undefined =>
    (this.records.get(id) ?? this.stores.find((store) => store.id === id))?.region;

  readonly getRecordByHash = (hash: number): EndpointRecord | undefined => {
    const id = this.idsByHash.get(hash);
    return id === undefined ? undefined : this.records.get(id);
  };

  readonly getObservations = (record: EndpointRecord): ObservedRow[] =>
    this.options.table.getObservations(record.hash, this.options.clock.nowMs());

  readonly getNewestLiveRow = (record: EndpointRecord): ObservedRow | undefined =>
    this.options.table.getNewestLiveRow(record.hash, this.options.clock.nowMs());

  private getCachedView(record: EndpointRecord, nowMs: number): EndpointView {
    const { region } = this.options.identity;
    const revision = this.options.table.getRevision(record.hash);
    const maxAgeMs = record.region === region ? OWN_REGION_VIEW_TTL_MS : OTHER_REGION_VIEW_TTL_MS;
    return this.views.get(record, revision, nowMs, maxAgeMs, () =>
      createView(record, this.getObservations(record), region, nowMs),
    );
  }

  private updateLocalContact(id: EndpointId, changes: LocalContact): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    this.records.set(id, { ...record, localContact: { ...record.localContact, ...changes } });
  }

  private sendDataPathRow(id: EndpointId, state: RowState): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    const liveRow = findLiveRow(this.getObservations(record));
    const row = createDataPathRow(record, state, liveRow);
    this.options.sendDataPathRow(row);
  }

  private async checkEndpoint(record: EndpointRecord): Promise<boolean> {
    return record.kind === 'runner' ? this.checkRunner(record) : this.checkService(record);
  }

  private async checkRunner({ id, service, url }: EndpointRecord): Promise<boolean> {
    const { clock, engines, toAddress } = this.options;
    const status = await engines.readStatus(toAddress(service, url));
    if (status.isErr() || status.value.endpointId !== id) {
      this.reportFailure(id);
      return false;
    }
    const { boot, load, models, state } = status.value;
    this.applyDetails(id, {
      boot,
      models: models.map(({ model, weightVersion }) => ({
        model: toId<ModelId>(model),
        weightVersion: toId<WeightVersion>(weightVersion),
      })),
    });
    if (state === 'draining') this.markLeaving(id);
    if (state !== 'ready') return false;
    const nowMs = clock.nowMs();
    this.updateLocalContact(id, { load, loadReceivedMs: nowMs, lastReadyCheckMs: nowMs });
    return true;
  }

  private async checkService({ id, url }: EndpointRecord): Promise<boolean> {
    const health = await this.options.services.readHealth(url);
    if (health.isErr()) {
      this.reportFailure(id);
      return false;
    }
    if (health.value.state === 'draining') {
      this.markLeaving(id);
      return false;
    }
    this.updateLocalContact(id, { lastReadyCheckMs: this.options.clock.nowMs() });
    return true;
  }
}
