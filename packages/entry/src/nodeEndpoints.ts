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
import { EndpointViewCache, FOREIGN_VIEW_MS, OWN_VIEW_MS } from './endpointViewCache.js';
import {
  createMarkRow,
  createRecord,
  createView,
  getSeenRow,
  getVmUrl,
  type EndpointRecord,
  type OwnContact,
} from './nodeEndpointRecord.js';
import type { EndpointDetails } from './nodeTopics.js';
import type { EndpointDirectory, EndpointView, NodeIdentity, StoreView } from './types.js';

/** Shortest interval between data path rows for the same endpoint and state, in milliseconds. */
const MARK_INTERVAL_MS = 1_000;

export interface NodeEndpointsOptions {
  readonly identity: NodeIdentity;
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: LoadTable;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly toAddress: (service: ServiceId, url: string) => EngineAddress;
  /** Sends all nodes a state that this node observed on the data path. */
  readonly sendMark: (row: LoadRow) => void;
}

const toStoreView = (vm: Vm): StoreView => ({
  id: toId<EndpointId>(vm.id),
  url: getVmUrl(vm),
  region: toId<Region>(vm.region),
  zone: toId<Zone>(vm.zone),
  isLive: vm.state === 'live',
});

/** Tracks the load and state of the VM list's endpoints from watchers and the data path. */
export class NodeEndpoints implements EndpointDirectory {
  private records = new Map<EndpointId, EndpointRecord>();

  private byService = new Map<ServiceId, EndpointId[]>();

  private byHash = new Map<number, EndpointId>();

  private stores: readonly StoreView[] = [];

  private readonly checks = new Map<EndpointId, Promise<boolean>>();

  private readonly views = EndpointViewCache.create();

  private readonly log: Logger;

  private constructor(private readonly options: NodeEndpointsOptions) {
    this.log = options.log.withTag('endpoints');
  }

  static create(options: NodeEndpointsOptions): NodeEndpoints {
    return new NodeEndpoints(options);
  }

  readonly listEndpoints = (service: ServiceId): readonly EndpointView[] => {
    const nowMs = this.options.clock.nowMs();
    const views: EndpointView[] = [];
    for (const id of this.byService.get(service) ?? []) {
      const record = this.records.get(id);
      if (record !== undefined) views.push(this.getKeptView(record, nowMs));
    }
    return views;
  };

  readonly listStores = (region: Region): readonly StoreView[] =>
    this.stores.filter((store) => store.region === region);

  readonly getEndpoint = (id: EndpointId): EndpointView | undefined => {
    const record = this.records.get(id);
    if (record === undefined) return undefined;
    const { clock, identity } = this.options;
    return createView(record, this.getWitnesses(record), identity.region, clock.nowMs());
  };

  /** Returns views of all endpoints, for the administration API. */
  readonly listAll = (): EndpointView[] =>
    [...this.records.keys()].flatMap((id) => this.getEndpoint(id) ?? []);

  readonly updateLoad = (id: EndpointId, load: EngineLoad): void => {
    const nowMs = this.options.clock.nowMs();
    this.updateOwn(id, { load, loadMs: nowMs, answerMs: nowMs });
    this.records.get(id)?.gate.recordResult(true);
  };

  readonly reportAnswer = (id: EndpointId): void => {
    this.updateOwn(id, { answerMs: this.options.clock.nowMs() });
    this.records.get(id)?.gate.recordResult(true);
  };

  readonly reportFailure = (id: EndpointId): void => {
    const nowMs = this.options.clock.nowMs();
    const record = this.records.get(id);
    record?.gate.recordResult(false);
    const lastMs = record?.own.failureMs ?? -Infinity;
    this.updateOwn(id, { failureMs: nowMs });
    if (nowMs - lastMs >= MARK_INTERVAL_MS) this.sendMark(id, 'failed');
  };

  readonly markLeaving = (id: EndpointId): void => {
    const nowMs = this.options.clock.nowMs();
    const lastMs = this.records.get(id)?.own.leavingMs ?? -Infinity;
    this.updateOwn(id, { leavingMs: nowMs });
    if (nowMs - lastMs >= MARK_INTERVAL_MS) this.sendMark(id, 'leaving');
  };

  readonly verifyFresh = async (id: EndpointId): Promise<boolean> => {
    const record = this.records.get(id);
    if (record === undefined) return false;
    if (!record.gate.tryAcquireTrial(this.options.clock.nowMs())) return false;
    const running = this.checks.get(id);
    if (running !== undefined) return running;
    const check = this.checkEndpoint(record).finally(() => this.checks.delete(id));
    this.checks.set(id, check);
    return check;
  };

  /** Replaces the endpoints and store VMs with those of the VM list. */
  readonly applyVms = (vms: readonly Vm[]): void => {
    const records = new Map<EndpointId, EndpointRecord>();
    this.byService = new Map();
    this.byHash = new Map();
    for (const vm of vms) {
      if (vm.role !== 'runner' && vm.role !== 'service') continue;
      if (records.size >= MAX_ENDPOINTS) break;
      const record = createRecord(vm, vm.role, this.records.get(toId<EndpointId>(vm.id)));
      const other = this.byHash.get(record.hash);
      if (other !== undefined)
        this.log.warn(`Endpoints ${other} and ${record.id} have the same hash.`);
      records.set(record.id, record);
      this.byHash.set(record.hash, record.id);
      const ofService = this.byService.get(record.service) ?? [];
      ofService.push(record.id);
      this.byService.set(record.service, ofService);
    }
    this.records = records;
    this.views.removeAll();
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
    const id = this.byHash.get(hash);
    return id === undefined ? undefined : this.records.get(id);
  };

  readonly getWitnesses = (record: EndpointRecord): ObservedRow[] =>
    this.options.table.getObservations(record.hash, this.options.clock.nowMs());

  readonly getYoungestSeen = (record: EndpointRecord): ObservedRow | undefined =>
    this.options.table.getNewestLiveRow(record.hash, this.options.clock.nowMs());

  private getKeptView(record: EndpointRecord, nowMs: number): EndpointView {
    const { region } = this.options.identity;
    const revision = this.options.table.getRevision(record.hash);
    const maxAgeMs = record.region === region ? OWN_VIEW_MS : FOREIGN_VIEW_MS;
    return this.views.get(record, revision, nowMs, maxAgeMs, () =>
      createView(record, this.getWitnesses(record), region, nowMs),
    );
  }

  private updateOwn(id: EndpointId, changes: OwnContact): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    this.records.set(id, { ...record, own: { ...record.own, ...changes } });
  }

  private sendMark(id: EndpointId, state: RowState): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    const seen = getSeenRow(this.getWitnesses(record));
    const row = createMarkRow(record, state, seen);
    this.options.sendMark(row);
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
    this.updateOwn(id, { load, loadMs: nowMs, checkMs: nowMs });
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
    this.updateOwn(id, { checkMs: this.options.clock.nowMs() });
    return true;
  }
}
