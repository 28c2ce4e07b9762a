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
import { NodeTimer } from './nodeTimer.js';
import type { NodeIdentity, NodePart } from './types.js';

/** Unknown addresses are contacted once in this number of probe intervals. */
const INTRODUCE_INTERVALS = 2;
/** Addresses contacted at the same time. The remaining members become known through gossip. */
const MAX_INTRODUCTIONS = 16;
const INTRODUCE_LIMIT_MS = 1_000;

export interface NodeMembersOptions {
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
export class NodeMembers implements NodePart {
  private readonly list: MemberList;

  private readonly mesh: PeerMesh;

  private readonly log: Logger;

  private readonly probing = new Set<NodeId>();

  private readonly introducing = new Set<string>();

  /** Addresses in the VM list that belong to no known member. */
  private unknownAddresses: readonly string[] = [];

  private addresses = new Map<NodeId, string>();

  private timer: NodeTimer | undefined;

  private intervals = 0;

  private constructor(private readonly options: NodeMembersOptions) {
    const { address, clock, identity, random } = options;
    this.mesh = options.mesh;
    this.log = options.log.withTag('members');
    this.list = MemberList.create({ ...identity, address }, random, clock.nowMs());
  }

  /** Registers the handlers and starts probing. */
  static start(options: NodeMembersOptions): NodeMembers {
    const members = new NodeMembers(options);
    members.registerHandlers();
    members.timer = NodeTimer.start(
      () => members.runInterval(),
      () => PROBE_INTERVAL_MS,
      members.log,
    );
    return members;
  }

  /** Returns the sorted ids of a region's active nodes, among which work is divided. */
  readonly listActive = (region: Region): readonly NodeId[] => this.list.listActive(region);

  /** Returns the sorted ids of the active nodes in one region or in all regions. */
  readonly listLive = (region?: Region): readonly NodeId[] => this.list.listActive(region);

  /** Returns the regions of all known members, sorted. */
  readonly listRegions = (): readonly Region[] => this.list.listRegions();

  /** Tells whether a node is a member that is not dead. A draining member counts as present. */
  readonly isPresent = (node: NodeId): boolean => {
    const state = this.list.getMember(node)?.state;
    return state !== undefined && state !== 'dead';
  };

  readonly listMembers = (): readonly MemberUpdate[] => this.list.listMembers();

  /**
   * Schedules introductions to nodes in the VM list that are not members yet. Their ids come from
   * the authenticated connection, and their states only from probes.
   */
  readonly applyVms = (vms: readonly Vm[]): void => {
    const { address: ownAddress } = this.options;
    const listed = new Set<string>();
    for (const { host, ports, role } of vms) {
      if (role === 'entry' && ports.peer !== undefined) listed.add(`${host}:${ports.peer}`);
    }
    listed.delete(ownAddress);
    const members = this.list.listMembers();
    const present = members.filter(({ state }) => state !== 'dead');
    const taken = new Set(present.map(({ address }) => address));
    // A dead member does not count as listed if another member has taken over its address.
    const kept = members.filter(
      ({ address, state }) => listed.has(address) && (state !== 'dead' || !taken.has(address)),
    );
    this.list.setListedIds(new Set(kept.map(({ id }) => id)));
    this.unknownAddresses = [...listed].filter((address) => !taken.has(address));
    // A starting node needs the other members immediately.
    if (members.length === 1) this.startIntroductions();
  };

  /** Marks this node as leaving and starts a round of probes, which spreads the update. */
  readonly markLeaving = (): void => {
    this.list.markSelfLeaving();
    for (const target of this.list.chooseProbeTargets()) this.startProbe(target);
  };

  readonly stop = async (): Promise<void> => {
    await this.timer?.stop();
  };

  private registerHandlers(): void {
    const { list, mesh } = this;
    mesh.registerHandler(NODE_TOPICS.probe, probeSchema, (from, { updates }) => {
      this.applyUpdates(updates);
      return { updates: encodeUpdates(list.takeUpdates(from)) };
    });
    mesh.registerHandler(
      NODE_TOPICS.indirect,
      indirectProbeSchema,
      async (from, { target, updates }) => {
        this.applyUpdates(updates);
        const isAlive = await this.sendProbe(toId<NodeId>(target));
        return { isAlive, updates: encodeUpdates(list.takeUpdates(from)) };
      },
    );
  }

  private runInterval(): void {
    this.list.checkTimeouts(this.options.clock.nowMs());
    this.syncAddresses();
    if (this.intervals++ % INTRODUCE_INTERVALS === 0) this.startIntroductions();
    for (const target of this.list.chooseProbeTargets()) this.startProbe(target);
  }

  private startIntroductions(): void {
    const { address, seeds } = this.options;
    const isAlone = this.list.listMembers().length === 1;
    const others = isAlone ? seeds.filter((seed) => seed !== address) : [];
    // In random order, so that an address that does not respond can't hold up the others.
    const unknown = this.unknownAddresses
      .map((item) => ({ item, rank: this.options.random() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ item }) => item);
    for (const target of new Set([...others, ...unknown])) {
      if (this.introducing.size >= MAX_INTRODUCTIONS) return;
      this.startIntroduction(target);
    }
  }

  private startIntroduction(address: string): void {
    if (this.introducing.has(address)) return;
    this.introducing.add(address);
    // `introduce` returns failures as values, so this promise never rejects.
    this.introduce(address)
      .catch(() => undefined)
      .finally(() => this.introducing.delete(address));
  }

  private async introduce(address: string): Promise<void> {
    const node = await this.mesh.introduce(address, INTRODUCE_LIMIT_MS);
    // The reply to the probe contains the node's own member record.
    if (node.isOk()) await this.sendProbe(node.value);
  }

  private startProbe(target: NodeId): void {
    if (this.probing.has(target)) return;
    this.probing.add(target);
    // `runProbe` treats failures as values, so this promise never rejects.
    this.runProbe(target)
      .catch(() => undefined)
      .finally(() => this.probing.delete(target));
  }

  private async runProbe(target: NodeId): Promise<void> {
    const isAlive = (await this.sendProbe(target)) || (await this.sendIndirectProbes(target));
    const before = this.list.getMember(target)?.state;
    if (isAlive) this.list.recordSuccess(target);
    else this.list.recordFailure(target);
    const after = this.list.getMember(target)?.state;
    if (before !== after) this.log.info(`Node ${target} is ${after}.`);
  }

  private async sendProbe(target: NodeId): Promise<boolean> {
    const payload = { updates: encodeUpdates(this.list.takeUpdates(target)) };
    const reply = await this.mesh.request(target, NODE_TOPICS.probe, payload, PROBE_TIMEOUT_MS);
    const parsed = probeSchema.safeParse(reply.unwrapOr(undefined));
    if (parsed.success) this.applyUpdates(parsed.data.updates);
    return parsed.success;
  }

  private async sendIndirectProbes(target: NodeId): Promise<boolean> {
    const results = await Promise.all(
      this.list.chooseIndirectProbers(target).map(async (helper) => {
        const payload = { target, updates: encodeUpdates(this.list.takeUpdates(target)) };
        const topic = NODE_TOPICS.indirect;
        const reply = await this.mesh.request(helper, topic, payload, INDIRECT_PROBE_TIMEOUT_MS);
        const parsed = indirectReplySchema.safeParse(reply.unwrapOr(undefined));
        if (!parsed.success) return false;
        this.applyUpdates(parsed.data.updates);
        return parsed.data.isAlive;
      }),
    );
    return results.includes(true);
  }

  private applyUpdates(updates: readonly MemberUpdate[]): void {
    this.list.applyUpdates(updates);
    this.syncAddresses();
  }

  private syncAddresses(): void {
    const present = new Map<NodeId, string>();
    for (const { address, id } of this.list.listMembers()) {
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
