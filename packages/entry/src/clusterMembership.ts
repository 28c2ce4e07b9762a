import {
  toId,
  type Clock,
  type Logger,
  type NodeId,
  type Random,
  type Region,
} from '@lovagearch/common';
import {
  encodeUpdates,
  INDIRECT_PROBE_TIMEOUT_MS,
  indirectProbeSchema,
  indirectReplySchema,
  MemberList,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  probeSchema,
  type MemberUpdate,
} from '@lovagearch/membership';
import type { PeerMesh } from '@lovagearch/peering';
import type { Vm } from '@lovagearch/platform-client';
import { NODE_TOPICS } from './nodeTopics.js';
import { PeriodicTask } from './periodicTask.js';
import type { NodeIdentity, NodeComponent } from './types.js';

/** Unknown addresses are contacted once in this number of probe intervals. */
const PROBE_INTERVALS_PER_INTRODUCTION = 2;
/** Addresses contacted at the same time. The remaining members become known through gossip. */
const MAX_CONCURRENT_INTRODUCTIONS = 16;
const INTRODUCE_TIMEOUT_MS = 1_000;

export interface ClusterMembershipOptions {
  readonly identity: NodeIdentity;
  /** `host:port` at which the other nodes reach this one. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** Tracks the nodes of the cluster with a gossip failure detector over the mesh. */
export class ClusterMembership implements NodeComponent {
  private readonly memberList: MemberList;

  private readonly mesh: PeerMesh;

  private readonly log: Logger;

  private readonly pendingProbes = new Set<NodeId>();

  private readonly pendingIntroductions = new Set<string>();

  /** Addresses in the VM list that belong to no known member. */
  private unknownAddresses: readonly string[] = [];

  private addresses = new Map<NodeId, string>();

  private timer: PeriodicTask | undefined;

  private intervalCount = 0;

  private constructor(private readonly options: ClusterMembershipOptions) {
    const { address, clock, identity, random } = options;
    this.mesh = options.mesh;
    this.log = options.log.withTag('members');
    this.memberList = MemberList.create({ ...identity, address }, random, clock.nowMs());
  }

  /** Registers the handlers and starts probing. */
  static start(options: ClusterMembershipOptions): ClusterMembership {
    const members = new ClusterMembership(options);
    members.registerHandlers();
    members.timer = PeriodicTask.start(
      () => members.runInterval(),
      () => PROBE_INTERVAL_MS,
      members.log,
    );
    return members;
  }

  /** Returns the sorted ids of a region's active nodes, among which work is divided. */
  readonly listActive = (region: Region): readonly NodeId[] => this.memberList.listActive(region);

  /** Returns the sorted ids of the active nodes in one region or in all regions. */
  readonly listLive = (region?: Region): readonly NodeId[] => this.memberList.listActive(region);

  /** Returns the regions of all known members, sorted. */
  readonly listRegions = (): readonly Region[] => this.memberList.listRegions();

  /** Tells whether a node is a member that is not dead. A draining member counts as present. */
  readonly isPresent = (node: NodeId): boolean => {
    const state = this.memberList.getMember(node)?.state;
    return state !== undefined && state !== 'dead';
  };

  readonly listMembers = (): readonly MemberUpdate[] => this.memberList.listMembers();

  /**
   * Schedules introductions to nodes in the VM list that are not members yet. Their ids come from
   * the authenticated connection, and their states only from probes.
   */
  readonly applyVms = (vms: readonly Vm[]): void => {
    const { address: ownAddress } = this.options;
    const listedAddresses = new Set<string>();
    for (const { host, ports, role } of vms) {
      if (role === 'entry' && ports.peer !== undefined)
        listedAddresses.add(`${host}:${ports.peer}`);
    }
    listedAddresses.delete(ownAddress);
    const members = this.memberList.listMembers();
    const present = members.filter(({ state }) => state !== 'dead');
    const presentAddresses = new Set(present.map(({ address }) => address));
    // A dead member does not count as listed if another member has taken over its address.
    const listedMembers = members.filter(
      ({ address, state }) =>
        listedAddresses.has(address) && (state !== 'dead' || !presentAddresses.has(address)),
    );
    this.memberList.setListedIds(new Set(listedMembers.map(({ id }) => id)));
    this.unknownAddresses = [...listedAddresses].filter(
      (address) => !presentAddresses.has(address),
    );
    // A starting node needs the other members immediately.
    if (members.length === 1) this.startIntroductions();
  };

  /** Marks this node as leaving and starts a round of probes, which spreads the update. */
  readonly markLeaving = (): void => {
    this.memberList.markSelfLeaving();
    for (const target of this.memberList.chooseProbeTargets()) this.startProbe(target);
  };

  readonly stop = async (): Promise<void> => {
    await this.timer?.stop();
  };

  private registerHandlers(): void {
    const { memberList, mesh } = this;
    mesh.registerHandler(NODE_TOPICS.probe, probeSchema, (from, { updates }) => {
      this.applyUpdates(updates);
      return { updates: encodeUpdates(memberList.takeUpdates(from)) };
    });
    mesh.registerHandler(
      NODE_TOPICS.indirect,
      indirectProbeSchema,
      async (from, { target, updates }) => {
        this.applyUpdates(updates);
        const isAlive = await this.sendProbe(toId<NodeId>(target));
        return { isAlive, updates: encodeUpdates(memberList.takeUpdates(from)) };
      },
    );
  }

  private runInterval(): void {
    this.memberList.checkTimeouts(this.options.clock.nowMs());
    this.syncAddresses();
    if (this.intervalCount++ % PROBE_INTERVALS_PER_INTRODUCTION === 0) this.startIntroductions();
    for (const target of this.memberList.chooseProbeTargets()) this.startProbe(target);
  }

  private startIntroductions(): void {
    const { address, seeds } = this.options;
    const isAlone = this.memberList.listMembers().length === 1;
    const seedAddresses = isAlone ? seeds.filter((seed) => seed !== address) : [];
    // In random order, so that an address that does not respond can't hold up the others.
    const unknown = this.unknownAddresses
      .map((item) => ({ item, rank: this.options.random() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ item }) => item);
    for (const target of new Set([...seedAddresses, ...unknown])) {
      if (this.pendingIntroductions.size >= MAX_CONCURRENT_INTRODUCTIONS) return;
      this.startIntroduction(target);
    }
  }

  private startIntroduction(address: string): void {
    if (this.pendingIntroductions.has(address)) return;
    this.pendingIntroductions.add(address);
    // `introduce` returns failures as values, so this promise never rejects.
    this.introduce(address)
      .catch(() => undefined)
      .finally(() => this.pendingIntroductions.delete(address));
  }

  private async introduce(address: string): Promise<void> {
    const node = await this.mesh.identifyPeer(address, INTRODUCE_TIMEOUT_MS);
    // The reply to the probe contains the node's own member record.
    if (node.isOk()) await this.sendProbe(node.value);
  }

  private startProbe(target: NodeId): void {
    if (this.pendingProbes.has(target)) return;
    this.pendingProbes.add(target);
    // `runProbe` treats failures as values, so this promise never rejects.
    this.runProbe(target)
      .catch(() => undefined)
      .finally(() => this.pendingProbes.delete(target));
  }

  private async runProbe(target: NodeId): Promise<void> {
    const isAlive = (await this.sendProbe(target)) || (await this.sendIndirectProbes(target));
    const previousState = this.memberList.getMember(target)?.state;
    if (isAlive) this.memberList.recordSuccess(target);
    else this.memberList.recordFailure(target);
    const currentState = this.memberList.getMember(target)?.state;
    if (previousState !== currentState) this.log.info(`Node ${target} is ${currentState}.`);
  }

  private async sendProbe(target: NodeId): Promise<boolean> {
    const payload = { updates: encodeUpdates(this.memberList.takeUpdates(target)) };
    const reply = await this.mesh.request(target, NODE_TOPICS.probe, payload, PROBE_TIMEOUT_MS);
    const parsed = probeSchema.safeParse(reply.unwrapOr(undefined));
    if (parsed.success) this.applyUpdates(parsed.data.updates);
    return parsed.success;
  }

  private async sendIndirectProbes(target: NodeId): Promise<boolean> {
    const results = await Promise.all(
      this.memberList.chooseIndirectProbers(target).map(async (prober) => {
        const payload = { target, updates: encodeUpdates(this.memberList.takeUpdates(target)) };
        const topic = NODE_TOPICS.indirect;
        const reply = await this.mesh.request(prober, topic, payload, INDIRECT_PROBE_TIMEOUT_MS);
        const parsed = indirectReplySchema.safeParse(reply.unwrapOr(undefined));
        if (!parsed.success) return false;
        this.applyUpdates(parsed.data.updates);
        return parsed.data.isAlive;
      }),
    );
    return results.includes(true);
  }

  private applyUpdates(updates: readonly MemberUpdate[]): void {
    this.memberList.applyUpdates(updates);
    this.syncAddresses();
  }

  private syncAddresses(): void {
    const present = new Map<NodeId, string>();
    for (const { address, id } of this.memberList.listMembers()) {
      if (id === this.mesh.self) continue;
      present.set(id, address);
      if (this.addresses.get(id) !== address) this.mesh.setAddress(id, address);
    }
    for (const id of this.addresses.keys()) {
      if (!present.has(id)) this.mesh.removeAddress(id);
    }
    this.addresses = present;
  }
}
