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
import { isEventRound, NodeCacheEvents, type CacheEventHandler } from './nodeCacheEvents.js';
import { NodeTimer } from './nodeTimer.js';
import type { EndpointDetails } from './nodeTopics.js';
import type { NodePart } from './types.js';

const POLL_INTERVAL_MS = MS_PER_SECOND;
/** Concurrent polls; twice the number of runners that one node watches at the design size. */
const MAX_POLLS = 64;
/** Age of its last poll result from which an endpoint is reported as unseen, in milliseconds. */
const UNSEEN_AFTER_MS = 2_500;

/** An endpoint of this node's region in the VM list. */
export interface WatchTarget {
  readonly id: EndpointId;
  readonly kind: 'runner' | 'service';
  readonly service: ServiceId;
  readonly url: string;
}

export interface NodeWatchersOptions {
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
  readonly seenMs: number;
}

interface Duty {
  readonly target: WatchTarget;
  /** Whether this node is the first watcher, which also reads the cache events. */
  readonly isFirst: boolean;
}

/** Polls each endpoint that this node watches once per second. */
export class NodeWatchers implements NodePart {
  private readonly observations = new Map<EndpointId, Observation>();

  private readonly polling = new Set<EndpointId>();

  private readonly cacheEvents: NodeCacheEvents;

  private duties: readonly Duty[] = [];

  private dutiesKey = '';

  private offset = 0;

  private rounds = 0;

  private timer: NodeTimer | undefined;

  private constructor(private readonly options: NodeWatchersOptions) {
    this.cacheEvents = NodeCacheEvents.create(options.engines, options.handleCacheEvents);
  }

  static start(options: NodeWatchersOptions): NodeWatchers {
    const watchers = new NodeWatchers(options);
    watchers.timer = NodeTimer.start(
      () => watchers.startPolls(),
      () => POLL_INTERVAL_MS,
      options.log.withTag('watchers'),
    );
    return watchers;
  }

  /** Returns the nodes that watch an endpoint of this region, first watcher first. */
  readonly getWatchers = (endpoint: EndpointId): readonly NodeId[] =>
    computeWatchers(endpoint, this.options.listActive());

  /** Returns the rows of the watched endpoints, and the age of the oldest one not `unseen`. */
  listRows(): { readonly rows: readonly LoadRow[]; readonly ageMs: number } {
    const nowMs = this.options.clock.nowMs();
    let ageMs = 0;
    const rows: LoadRow[] = [];
    for (const { row, seenMs } of this.observations.values()) {
      const rowAgeMs = nowMs - seenMs;
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
    this.updateDuties();
    this.rounds += 1;
    const count = this.duties.length;
    for (let index = 0; index < count && this.polling.size < MAX_POLLS; index++) {
      const duty = this.duties[(this.offset + index) % count];
      if (duty !== undefined) this.startPoll(duty);
    }
    // With more assignments than concurrent polls, the rounds rotate through all of them.
    this.offset = count === 0 ? 0 : (this.offset + MAX_POLLS) % count;
  }

  private updateDuties(): void {
    const { listActive, listTargets, self } = this.options;
    const [members, targets] = [listActive(), listTargets()];
    const key = [...members, '', ...targets.map(({ id, url }) => `${id}@${url}`)].join('|');
    if (key === this.dutiesKey) return;
    this.dutiesKey = key;
    const duties: Duty[] = [];
    for (const target of targets) {
      const rank = computeWatchers(target.id, members).indexOf(self);
      if (rank >= 0) duties.push({ target, isFirst: rank === 0 });
    }
    this.duties = duties;
    const watched = new Set(duties.map(({ target }) => target.id));
    for (const id of this.observations.keys()) {
      if (!watched.has(id)) this.observations.delete(id);
    }
    const first = duties.filter(({ isFirst }) => isFirst);
    this.cacheEvents.updateRunners(new Set(first.map(({ target }) => target.id)));
  }

  private startPoll(duty: Duty): void {
    const { id } = duty.target;
    if (this.polling.has(id)) return;
    this.polling.add(id);
    // The clients return errors as values, so this promise rejects only on a bug in this process.
    this.runPoll(duty)
      .catch((error: unknown) => this.options.log.error(error))
      .finally(() => this.polling.delete(id));
  }

  private async runPoll({ isFirst, target }: Duty): Promise<void> {
    if (target.kind === 'service') {
      await this.pollService(target);
      return;
    }
    const address = this.options.toAddress(target.service, target.url);
    const boot = await this.pollRunner(target, address);
    const nodes = this.options.listActive().length;
    const isRead = isFirst && boot !== undefined && this.options.handleCacheEvents !== undefined;
    if (isRead && isEventRound(target.id, this.rounds, nodes))
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
      this.record(target.id, undefined, startMs);
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
    this.record(target.id, row, startMs);
    return boot;
  }

  private async pollService(target: WatchTarget): Promise<void> {
    const startMs = this.options.clock.nowMs();
    const health = await this.options.services.readHealth(target.url);
    if (health.isErr()) {
      this.record(target.id, undefined, startMs);
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
    this.record(target.id, row, startMs);
  }

  private record(id: EndpointId, seen: LoadRow | undefined, seenMs: number): void {
    if (!this.duties.some(({ target }) => target.id === id)) return;
    const known = this.observations.get(id)?.row;
    const unseen: LoadRow = {
      endpoint: computeIdHash(id),
      queuedPromptTokens: 0,
      activeSequences: 0,
      cacheUse: 0,
      versionTag: 0,
      ...known,
      state: 'unseen',
    };
    const row = seen ?? unseen;
    this.observations.set(id, { row, seenMs });
    // The first observation of a ready endpoint is not urgent; the next cycle reports it.
    const isChange =
      known === undefined
        ? row.state !== 'ready'
        : row.state !== known.state || row.versionTag !== known.versionTag;
    if (isChange) this.options.handleChange(row);
  }
}
