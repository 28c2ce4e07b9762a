import {
  MS_PER_SECOND,
  toId,
  type Clock,
  type EndpointId,
  type Logger,
  type ModelId,
  type NodeId,
  type ServiceId,
  type WeightVersion,
} from '@lovagearch/common';
import type { EngineAddress, EngineClient } from '@lovagearch/engine-client';
import {
  computeIdHash,
  computeVersionTag,
  computeWatchers,
  type LoadRow,
} from '@lovagearch/membership';
import type { ServiceClient } from '@lovagearch/service-client';
import {
  shouldReadCacheEvents,
  CacheEventReader,
  type CacheEventHandler,
} from './cacheEventReader.js';
import { PeriodicTask } from './periodicTask.js';
import type { EndpointDetails } from './nodeTopics.js';
import type { NodeComponent } from './types.js';

const POLL_INTERVAL_MS = MS_PER_SECOND;
/** Concurrent polls; twice the number of runners that one node watches at the design size. */
const MAX_CONCURRENT_POLLS = 64;
/** Age of its last poll result from which an endpoint is reported as unseen, in milliseconds. */
const UNSEEN_AFTER_MS = 2_500;

/** An endpoint of this node's region in the VM list. */
export interface WatchTarget {
  readonly id: EndpointId;
  readonly kind: 'runner' | 'service';
  readonly service: ServiceId;
  readonly url: string;
}

export interface EndpointPollerOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly log: Logger;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly toAddress: (service: ServiceId, url: string) => EngineAddress;
  readonly listTargets: () => readonly WatchTarget[];
  /** Active nodes of this node's region. */
  readonly listActive: () => readonly NodeId[];
  /** Called with the models and the boot id from each status of a runner. */
  readonly handleDetails: (endpoint: EndpointId, details: EndpointDetails) => void;
  /** Called when the state or the version tag of an endpoint has changed. */
  readonly handleChange: (row: LoadRow) => void;
  readonly handleCacheEvents?: CacheEventHandler;
}

interface Observation {
  readonly row: LoadRow;
  readonly observedMs: number;
}

interface WatchAssignment {
  readonly target: WatchTarget;
  /** Whether this node is the first watcher, which also reads the cache events. */
  readonly isFirst: boolean;
}

/** Polls each endpoint that this node watches once per second. */
export class EndpointPoller implements NodeComponent {
  private readonly observations = new Map<EndpointId, Observation>();

  private readonly polling = new Set<EndpointId>();

  private readonly cacheEvents: CacheEventReader;

  private assignments: readonly WatchAssignment[] = [];

  private assignmentsKey = '';

  private pollOffset = 0;

  private roundCount = 0;

  private timer: PeriodicTask | undefined;

  private constructor(private readonly options: EndpointPollerOptions) {
    this.cacheEvents = CacheEventReader.create(options.engines, options.handleCacheEvents);
  }

  static start(options: EndpointPollerOptions): EndpointPoller {
    const poller = new EndpointPoller(options);
    poller.timer = PeriodicTask.start(
      () => poller.startPolls(),
      () => POLL_INTERVAL_MS,
      options.log.withTag('watchers'),
    );
    return poller;
  }

  /** Returns the nodes that watch an endpoint of this region, first watcher first. */
  readonly getWatchers = (endpoint: EndpointId): readonly NodeId[] =>
    computeWatchers(endpoint, this.options.listActive());

  /** Returns the rows of the watched endpoints, and the age of the oldest one not `unseen`. */
  listRows(): { readonly rows: readonly LoadRow[]; readonly ageMs: number } {
    const nowMs = this.options.clock.nowMs();
    let ageMs = 0;
    const rows: LoadRow[] = [];
    for (const { row, observedMs } of this.observations.values()) {
      const rowAgeMs = nowMs - observedMs;
      if (row.state === 'unseen') rows.push(row);
      else if (rowAgeMs >= UNSEEN_AFTER_MS) rows.push({ ...row, state: 'unseen' });
      else {
        rows.push(row);
        ageMs = Math.max(ageMs, rowAgeMs);
      }
    }
    return { rows, ageMs };
  }

  readonly stop = async (): Promise<void> => {
    await this.timer?.stop();
  };

  private startPolls(): void {
    this.updateAssignments();
    this.roundCount += 1;
    const count = this.assignments.length;
    for (let index = 0; index < count && this.polling.size < MAX_CONCURRENT_POLLS; index++) {
      const assignment = this.assignments[(this.pollOffset + index) % count];
      if (assignment !== undefined) this.startPoll(assignment);
    }
    // With more assignments than concurrent polls, the rounds rotate through all of them.
    this.pollOffset = count === 0 ? 0 : (this.pollOffset + MAX_CONCURRENT_POLLS) % count;
  }

  private updateAssignments(): void {
    const { listActive, listTargets, self } = this.options;
    const [members, targets] = [listActive(), listTargets()];
    const key = [...members, '', ...targets.map(({ id, url }) => `${id}@${url}`)].join('|');
    if (key === this.assignmentsKey) return;
    this.assignmentsKey = key;
    const assignments: WatchAssignment[] = [];
    for (const target of targets) {
      const rank = computeWatchers(target.id, members).indexOf(self);
      if (rank >= 0) assignments.push({ target, isFirst: rank === 0 });
    }
    this.assignments = assignments;
    const watched = new Set(assignments.map(({ target }) => target.id));
    for (const id of this.observations.keys()) {
      if (!watched.has(id)) this.observations.delete(id);
    }
    const firstWatched = assignments.filter(({ isFirst }) => isFirst);
    this.cacheEvents.retainRunners(new Set(firstWatched.map(({ target }) => target.id)));
  }

  private startPoll(duty: WatchAssignment): void {
    const { id } = duty.target;
    if (this.polling.has(id)) return;
    this.polling.add(id);
    // The clients return errors as values, so this promise rejects only on a bug in this process.
    this.runPoll(duty)
      .catch((error: unknown) => this.options.log.error(error))
      .finally(() => this.polling.delete(id));
  }

  private async runPoll({ isFirst, target }: WatchAssignment): Promise<void> {
    if (target.kind === 'service') {
      await this.pollService(target);
      return;
    }
    const address = this.options.toAddress(target.service, target.url);
    const boot = await this.pollRunner(target, address);
    const nodeCount = this.options.listActive().length;
    const readsCacheEvents =
      isFirst && boot !== undefined && this.options.handleCacheEvents !== undefined;
    if (readsCacheEvents && shouldReadCacheEvents(target.id, this.roundCount, nodeCount))
      await this.cacheEvents.read(target.id, address, boot);
  }

  private async pollRunner(
    target: WatchTarget,
    address: EngineAddress,
  ): Promise<string | undefined> {
    const startMs = this.options.clock.nowMs();
    const status = await this.options.engines.readStatus(address);
    // Another process may have taken over the address of a removed VM.
    if (status.isErr() || status.value.endpointId !== target.id) {
      this.recordObservation(target.id, undefined, startMs);
      return undefined;
    }
    const { boot, load, models, state } = status.value;
    this.options.handleDetails(target.id, {
      boot,
      models: models.map(({ model, weightVersion }) => ({
        model: toId<ModelId>(model),
        weightVersion: toId<WeightVersion>(weightVersion),
      })),
    });
    const row: LoadRow = {
      endpoint: computeIdHash(target.id),
      queuedPromptTokens: load.queuedPromptTokens,
      activeSequences: load.activeSequences,
      cacheUse: load.cacheUse,
      state: state === 'draining' ? 'leaving' : state,
      versionTag: computeVersionTag(boot, models),
    };
    this.recordObservation(target.id, row, startMs);
    return boot;
  }

  private async pollService(target: WatchTarget): Promise<void> {
    const startMs = this.options.clock.nowMs();
    const health = await this.options.services.readHealth(target.url);
    if (health.isErr()) {
      this.recordObservation(target.id, undefined, startMs);
      return;
    }
    const { load, state } = health.value;
    const row: LoadRow = {
      endpoint: computeIdHash(target.id),
      queuedPromptTokens: 0,
      activeSequences: load.active + load.queued,
      cacheUse: 0,
      state: state === 'draining' ? 'leaving' : 'ready',
      versionTag: 0,
    };
    this.recordObservation(target.id, row, startMs);
  }

  private recordObservation(id: EndpointId, liveRow: LoadRow | undefined, polledMs: number): void {
    if (!this.assignments.some(({ target }) => target.id === id)) return;
    const known = this.observations.get(id)?.row;
    const unseenRow: LoadRow = {
      endpoint: computeIdHash(id),
      queuedPromptTokens: 0,
      activeSequences: 0,
      cacheUse: 0,
      versionTag: 0,
      ...known,
      state: 'unseen',
    };
    const row = liveRow ?? unseenRow;
    this.observations.set(id, { row, observedMs: polledMs });
    // The first observation of a ready endpoint is not urgent; the next cycle reports it.
    const isChange =
      known === undefined
        ? row.state !== 'ready'
        : row.state !== known.state || row.versionTag !== known.versionTag;
    if (isChange) this.options.handleChange(row);
  }
}
