import { chooseItem, type NodeId, type Random, type Region } from '@lovagearch/common';
import {
  DEAD_MEMBER_RETENTION_MS,
  INDIRECT_PROBER_COUNT,
  MAX_ELAPSED_PER_CHECK_MS,
  MAX_MEMBERS,
  MAX_MEMBERS_PROBED_PER_INTERVAL,
  MAX_UPDATES_PER_MESSAGE,
  RANDOM_RECORDS_PER_MESSAGE,
  RECONNECT_PROBE_INTERVALS,
  SUSPICION_TIMEOUT_MS,
} from './constants.js';
import {
  isNewer,
  type MemberIdentity,
  type MemberState,
  type MemberUpdate,
} from './memberUpdates.js';
import { UpdateQueue } from './updateQueue.js';

interface MemberRecord {
  update: MemberUpdate;
  /** Time in the current state, excluding pauses of this process. */
  timeInStateMs: number;
  /** Time since a leaving member stopped answering probes; undefined while it answers. */
  unresponsiveMs?: number | undefined;
}

/** Sorted lists, cached until a record changes because every request reads them. */
interface MemberViews {
  readonly members: readonly MemberUpdate[];
  readonly regions: readonly Region[];
  readonly active: readonly NodeId[];
  readonly activeByRegion: ReadonlyMap<Region, readonly NodeId[]>;
}

const FAILED_STATES: ReadonlySet<MemberState> = new Set(['unreachable', 'dead']);

/**
 * A SWIM-style failure detector that tracks the members and their states. It chooses the members to
 * probe; the caller sends the probes and reports their results.
 *
 * @example
 * const list = MemberList.create(identity, createRandom(1), clock.nowMs());
 * list.addDiscovered(other);
 * for (const target of list.chooseProbeTargets()) ...
 */
export class MemberList {
  private readonly records = new Map<NodeId, MemberRecord>();

  private readonly updateQueue = UpdateQueue.create();

  private listedIds: ReadonlySet<NodeId> = new Set();

  private probeOrder: NodeId[] = [];

  private intervalCount = 0;

  private views: MemberViews | undefined;

  private constructor(
    private own: MemberUpdate,
    private readonly random: Random,
    private lastCheckMs: number,
  ) {}

  static create(self: MemberIdentity, random: Random, nowMs: number): MemberList {
    const own: MemberUpdate = { ...self, state: 'alive', incarnation: 0 };
    const list = new MemberList(own, random, nowMs);
    list.updateQueue.add(self.id);
    return list;
  }

  /** Returns all members, including this node, sorted by id. */
  listMembers(): readonly MemberUpdate[] {
    return this.getViews().members;
  }

  /** Returns the regions of all members, sorted. */
  listRegions(): readonly Region[] {
    return this.getViews().regions;
  }

  /**
   * Returns the members that are assigned work, sorted by id: those that are alive or suspect,
   * including this node unless it is leaving.
   *
   * @param region limits the list to one region
   */
  listActive(region?: Region): readonly NodeId[] {
    const { active, activeByRegion } = this.getViews();
    return region === undefined ? active : (activeByRegion.get(region) ?? []);
  }

  getMember(id: NodeId): MemberUpdate | undefined {
    return id === this.own.id ? this.own : this.records.get(id)?.update;
  }

  /** Adds a member from the VM list or the seeds, unless gossip has already reported it. */
  addDiscovered(identity: MemberIdentity): void {
    if (identity.id === this.own.id || this.records.has(identity.id)) return;
    this.addRecord({ ...identity, state: 'alive', incarnation: 0 });
  }

  /** Replaces the set of nodes that are in the VM list. */
  setListedIds(ids: ReadonlySet<NodeId>): void {
    this.listedIds = ids;
  }

  /** Marks this node as leaving; the next probes tell the other members. */
  markSelfLeaving(): void {
    const { incarnation } = this.own;
    this.setOwn({ ...this.own, state: 'leaving', incarnation: incarnation + 1 });
    this.updateQueue.add(this.own.id);
  }

  /** Chooses the members to probe in this interval. */
  chooseProbeTargets(): NodeId[] {
    this.intervalCount++;
    const reachable: NodeId[] = [];
    const failed: NodeId[] = [];
    const unresponsive: NodeId[] = [];
    for (const { update, unresponsiveMs } of this.records.values()) {
      (FAILED_STATES.has(update.state) ? failed : reachable).push(update.id);
      if (unresponsiveMs !== undefined) unresponsive.push(update.id);
    }
    // A leaving member never becomes suspect, so it has no suspicion to refute. Once it stops
    // answering, it is probed in every interval until it answers or is dead.
    const targets =
      reachable.length <= MAX_MEMBERS_PROBED_PER_INTERVAL
        ? reachable
        : [...new Set([...this.takeNextTarget(reachable), ...unresponsive])];
    // After a partition heals, each side may still consider the other failed, and only a probe
    // reconnects them.
    const isRecheck = this.intervalCount % RECONNECT_PROBE_INTERVALS === 0;
    const failedTarget = isRecheck ? chooseItem(failed, this.random) : undefined;
    return failedTarget === undefined ? targets : [...targets, failedTarget];
  }

  /** Chooses the members to ask for an indirect probe, preferring the target's region. */
  chooseIndirectProbers(target: NodeId): NodeId[] {
    const region = this.getMember(target)?.region;
    const probers = [...this.records.values()]
      .map(({ update }) => update)
      .filter(({ id, state }) => id !== target && state === 'alive')
      .map((update) => ({ update, rank: (update.region === region ? 0 : 1) + this.random() }))
      .sort((a, b) => a.rank - b.rank);
    return probers.slice(0, INDIRECT_PROBER_COUNT).map(({ update }) => update.id);
  }

  /** Records that neither the direct nor the indirect probes of a member were answered. */
  recordFailure(id: NodeId): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    const { state } = record.update;
    if (state === 'alive') this.setState(record, 'suspect');
    // A leaving member does not become suspect, because suspect members are assigned work.
    if (state === 'leaving') record.unresponsiveMs ??= 0;
  }

  /**
   * Records that a member answered a direct or indirect probe. This only ends the state
   * `unreachable`, which is local to this node; a suspicion is refuted by the update in the answer.
   */
  recordSuccess(id: NodeId): void {
    const record = this.records.get(id);
    if (record !== undefined) record.unresponsiveMs = undefined;
    if (record?.update.state === 'unreachable') this.setState(record, 'alive');
  }

  /** Applies updates from another node, and refutes those that are wrong about this node. */
  applyUpdates(updates: readonly MemberUpdate[]): void {
    for (const update of updates) this.applyUpdate(update);
  }

  /**
   * Takes the updates for a message to a member: this node's record, the receiver's unless it is
   * alive, queued updates and random records.
   */
  takeUpdates(to: NodeId): MemberUpdate[] {
    const memberCount = this.records.size + 1;
    const ids = new Set<NodeId>([this.own.id]);
    if (this.getMember(to)?.state !== 'alive') ids.add(to);
    for (const id of this.updateQueue.take(MAX_UPDATES_PER_MESSAGE, memberCount)) ids.add(id);
    const all = [...this.records.keys()];
    for (let index = 0; index < RANDOM_RECORDS_PER_MESSAGE; index++) {
      const id = chooseItem(all, this.random);
      if (id !== undefined) ids.add(id);
    }
    const updates: MemberUpdate[] = [];
    for (const id of ids) {
      const update = this.getMember(id);
      // `unreachable` is local to this node. It is sent as a suspicion, which the member can refute.
      if (update?.state === 'unreachable') updates.push({ ...update, state: 'suspect' });
      else if (update !== undefined) updates.push(update);
    }
    return updates;
  }

  /**
   * Advances the time in each state, times out suspicions and removes dead members after the
   * retention time.
   */
  checkTimeouts(nowMs: number): void {
    const elapsedMs = Math.min(Math.max(0, nowMs - this.lastCheckMs), MAX_ELAPSED_PER_CHECK_MS);
    this.lastCheckMs = nowMs;
    for (const record of [...this.records.values()]) {
      record.timeInStateMs += elapsedMs;
      if (record.unresponsiveMs !== undefined) record.unresponsiveMs += elapsedMs;
      this.checkRecordTimeouts(record);
    }
  }

  private checkRecordTimeouts(record: MemberRecord): void {
    const { id, state } = record.update;
    const isListed = this.listedIds.has(id);
    if (state === 'suspect' && record.timeInStateMs >= SUSPICION_TIMEOUT_MS) {
      this.setState(record, this.getFailedState(record.update));
    } else if (state === 'leaving' && (record.unresponsiveMs ?? 0) >= SUSPICION_TIMEOUT_MS) {
      this.setState(record, 'dead');
    } else if (state === 'unreachable' && !isListed) {
      this.setState(record, 'dead');
    } else if (state === 'dead' && !isListed && record.timeInStateMs >= DEAD_MEMBER_RETENTION_MS) {
      this.records.delete(id);
      this.views = undefined;
      this.updateQueue.remove(id);
    }
  }

  /**
   * Returns the state of a failed member. A node of another region that is still in the VM list is
   * `unreachable`, since it may still be running; any other is `dead`.
   */
  private getFailedState(update: MemberUpdate): 'dead' | 'unreachable' {
    const isOtherRegion = update.region !== this.own.region;
    return isOtherRegion && this.listedIds.has(update.id) ? 'unreachable' : 'dead';
  }

  private applyUpdate(update: MemberUpdate): void {
    if (update.id === this.own.id) {
      this.refuteUpdate(update);
      return;
    }
    const record = this.records.get(update.id);
    if (record === undefined) {
      if (update.state !== 'dead') this.addRecord(update);
      return;
    }
    const known = record.update;
    if (known.state === 'unreachable' && update.incarnation === known.incarnation) return;
    if (!isNewer(update, known)) return;
    // A leaving member doesn't return, so it is dead rather than unreachable, even if it is in
    // another region.
    const isFailure = update.state === 'dead' && known.state !== 'leaving';
    const state = isFailure ? this.getFailedState(update) : update.state;
    record.update = { ...update, state };
    if (state !== 'leaving') record.unresponsiveMs = undefined;
    this.views = undefined;
    if (state !== known.state) record.timeInStateMs = 0;
    this.updateQueue.add(update.id);
  }

  /** Raises this node's incarnation if an update contradicts its own state. */
  private refuteUpdate(update: MemberUpdate): void {
    const isOutdated = update.incarnation < this.own.incarnation;
    const isSame = update.incarnation === this.own.incarnation && update.state === this.own.state;
    if (isOutdated || isSame) return;
    this.setOwn({ ...this.own, incarnation: update.incarnation + 1 });
    this.updateQueue.add(this.own.id);
  }

  private setOwn(update: MemberUpdate): void {
    this.own = update;
    this.views = undefined;
  }

  private getViews(): MemberViews {
    this.views ??= this.createViews();
    return this.views;
  }

  private createViews(): MemberViews {
    const others = [...this.records.values()].map(({ update }) => update);
    const members = [...others, this.own].sort((a, b) => (a.id < b.id ? -1 : 1));
    const active: NodeId[] = [];
    const activeByRegion = new Map<Region, NodeId[]>();
    for (const { id, region, state } of members) {
      const activeInRegion = activeByRegion.get(region) ?? [];
      activeByRegion.set(region, activeInRegion);
      if (state !== 'alive' && state !== 'suspect') continue;
      active.push(id);
      activeInRegion.push(id);
    }
    return { members, regions: [...activeByRegion.keys()].sort(), active, activeByRegion };
  }

  private addRecord(update: MemberUpdate): void {
    if (this.records.size >= MAX_MEMBERS) return;
    this.records.set(update.id, { update, timeInStateMs: 0 });
    this.views = undefined;
    this.updateQueue.add(update.id);
  }

  private setState(record: MemberRecord, state: MemberState): void {
    const { id } = record.update;
    this.records.set(id, { update: { ...record.update, state }, timeInStateMs: 0 });
    this.views = undefined;
    if (state !== 'unreachable') this.updateQueue.add(id);
  }

  /**
   * Takes the next member to probe. Each round probes all reachable members once, in a new random
   * order, which bounds the detection time.
   */
  private takeNextTarget(reachable: readonly NodeId[]): NodeId[] {
    const isReachable = new Set(reachable);
    for (;;) {
      const next = this.probeOrder.pop();
      if (next !== undefined && isReachable.has(next)) return [next];
      if (next === undefined) {
        this.probeOrder = reachable
          .map((id) => ({ id, rank: this.random() }))
          .sort((a, b) => a.rank - b.rank)
          .map(({ id }) => id);
      }
    }
  }
}
