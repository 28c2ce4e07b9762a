import {
  type Clock,
  type EndpointId,
  getErrorMessage,
  type Logger,
  type ModelId,
  MS_PER_SECOND,
  type Region,
  type ServiceId,
  toId,
  type WeightVersion,
  type Zone,
} from '@lovagearch/common';
import type { EngineAddress, EngineClient, EngineLoad } from '@lovagearch/engine-client';
import type { Vm, VmListClient } from '@lovagearch/platform-client';
import type { ServiceClient } from '@lovagearch/service-client';
import type { EndpointDirectory, EndpointView, NodePart, StoreView } from './types.js';

/** Endpoints that this simple directory polls. */
const MAX_ENDPOINTS = 512;
const POLL_INTERVAL_MS = MS_PER_SECOND;
const EMPTY_LOAD: EngineLoad = {
  queuedPromptTokens: 0,
  activeSequences: 0,
  cacheUse: 0,
  ageMs: 0,
};

export interface LocalDirectoryOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly vmList: VmListClient;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  /** Returns where a runner listens, with the service token if its service checks it. */
  readonly toAddress: (service: ServiceId, url: string) => EngineAddress;
}

interface Entry {
  readonly view: Omit<EndpointView, 'confirmedAgeMs'>;
  readonly confirmedAtMs: number;
}

const getUrl = ({ host, ports }: Vm): string => `http://${host}:${ports.main ?? 0}`;

/**
 * Polls the VM list and every endpoint each second, for a single entry process. The directory of a
 * cluster, in which two watchers poll each endpoint, replaces it.
 */
export class LocalDirectory implements EndpointDirectory, NodePart {
  private readonly entries = new Map<EndpointId, Entry>();

  /** Endpoints that are checked after a failed call. */
  private readonly checked = new Set<EndpointId>();

  private stores: StoreView[] = [];

  private timer: NodeJS.Timeout | undefined;

  private poll: Promise<void> = Promise.resolve();

  private isStopped = false;

  private constructor(private readonly options: LocalDirectoryOptions) {}

  /** Polls once and then each second until `stop`. */
  static async start(options: LocalDirectoryOptions): Promise<LocalDirectory> {
    const directory = new LocalDirectory(options);
    await directory.runPoll();
    return directory;
  }

  readonly listEndpoints = (service: ServiceId): readonly EndpointView[] =>
    this.listAll().filter((view) => view.service === service);

  readonly listStores = (region: Region): readonly StoreView[] =>
    this.stores.filter((store) => store.region === region);

  readonly getEndpoint = (id: EndpointId): EndpointView | undefined => {
    const entry = this.entries.get(id);
    return entry === undefined ? undefined : this.createView(entry);
  };

  readonly updateLoad = (id: EndpointId, load: EngineLoad): void => this.confirm(id, { load });

  /** Checks the endpoint at once; one failed call alone does not prove that it is dead. */
  readonly reportFailure = (id: EndpointId): void => {
    if (this.checked.has(id)) return;
    this.checked.add(id);
    this.refresh(id)
      .catch((error: unknown) => {
        this.options.log.error(`Checking ${id} failed: ${getErrorMessage(error)}.`);
      })
      .finally(() => this.checked.delete(id));
  };

  readonly markLeaving = (id: EndpointId): void => this.update(id, { state: 'leaving' });

  readonly verifyFresh = async (id: EndpointId): Promise<boolean> => {
    await this.refresh(id);
    return this.entries.get(id)?.view.state === 'ready';
  };

  readonly stop = async (): Promise<void> => {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.poll;
  };

  /** Returns all endpoints, for the administration API. */
  listAll(): EndpointView[] {
    return [...this.entries.values()].map((entry) => this.createView(entry));
  }

  private createView({ view, confirmedAtMs }: Entry): EndpointView {
    return { ...view, confirmedAgeMs: this.options.clock.nowMs() - confirmedAtMs };
  }

  private async runPoll(): Promise<void> {
    this.poll = this.readAll().catch((error: unknown) => {
      this.options.log.error(`Polling endpoints failed: ${getErrorMessage(error)}.`);
    });
    await this.poll;
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      // `runPoll` handles its errors itself.
      this.runPoll().catch(() => undefined);
    }, POLL_INTERVAL_MS);
  }

  private async readAll(): Promise<void> {
    const vms = await this.options.vmList.read();
    if (vms.isOk()) this.applyVms(vms.value);
    await Promise.all([...this.entries.keys()].map((id) => this.refresh(id)));
  }

  private applyVms(vms: readonly Vm[]): void {
    this.stores = vms
      .filter(({ role }) => role === 'store')
      .slice(0, MAX_ENDPOINTS)
      .map((vm) => ({
        id: toId<EndpointId>(vm.id),
        url: getUrl(vm),
        region: toId<Region>(vm.region),
        zone: toId<Zone>(vm.zone),
        isLive: vm.state === 'live',
      }));
    const listed = new Set<string>();
    for (const vm of vms) {
      if (vm.role !== 'runner' && vm.role !== 'service') continue;
      if (listed.size >= MAX_ENDPOINTS) break;
      listed.add(vm.id);
      this.applyVm(vm, vm.role);
    }
    for (const id of this.entries.keys()) {
      if (!listed.has(id)) this.entries.delete(id);
    }
  }

  private applyVm(vm: Vm, kind: 'runner' | 'service'): void {
    const id = toId<EndpointId>(vm.id);
    const known = this.entries.get(id);
    if (known === undefined || known.view.url !== getUrl(vm)) {
      const view = {
        id,
        service: toId<ServiceId>(vm.service ?? ''),
        kind,
        url: getUrl(vm),
        region: toId<Region>(vm.region),
        zone: toId<Zone>(vm.zone),
        state: 'loading' as const,
        models: [],
        load: EMPTY_LOAD,
        boot: '',
      };
      this.entries.set(id, { view, confirmedAtMs: this.options.clock.nowMs() });
    }
    if (vm.state === 'leaving') this.markLeaving(id);
  }

  private async refresh(id: EndpointId): Promise<void> {
    const view = this.entries.get(id)?.view;
    if (view === undefined) return;
    const changes =
      view.kind === 'runner' ? await this.readRunner(view) : await this.readService(view);
    // The VM list may know that the endpoint is leaving before it does; a restart ends that.
    const known = this.entries.get(id)?.view;
    const isLeaving = known?.state === 'leaving' && known.boot === (changes.boot ?? known.boot);
    this.confirm(id, isLeaving && changes.state === 'ready' ? { load: changes.load } : changes);
  }

  private async readRunner({ service, url }: Entry['view']): Promise<Partial<Entry['view']>> {
    const status = await this.options.engines.readStatus(this.options.toAddress(service, url));
    if (status.isErr()) return { state: 'dead' };
    const { boot, load, models, state } = status.value;
    return {
      state: state === 'draining' ? 'leaving' : state,
      boot,
      load,
      models: models.map(({ model, weightVersion }) => ({
        model: toId<ModelId>(model),
        weightVersion: toId<WeightVersion>(weightVersion),
      })),
    };
  }

  private async readService({ url }: Entry['view']): Promise<Partial<Entry['view']>> {
    const health = await this.options.services.readHealth(url);
    if (health.isErr()) return { state: 'dead' };
    const { load, state } = health.value;
    return {
      state: state === 'draining' ? 'leaving' : 'ready',
      load: { ...EMPTY_LOAD, activeSequences: load.active + load.queued },
    };
  }

  private confirm(id: EndpointId, changes: Partial<Entry['view']>): void {
    this.update(id, changes, this.options.clock.nowMs());
  }

  private update(id: EndpointId, changes: Partial<Entry['view']>, confirmedAtMs?: number): void {
    const known = this.entries.get(id);
    if (known === undefined) return;
    const { load = known.view.load } = changes;
    this.entries.set(id, {
      view: { ...known.view, ...changes, load },
      confirmedAtMs: confirmedAtMs ?? known.confirmedAtMs,
    });
  }
}
