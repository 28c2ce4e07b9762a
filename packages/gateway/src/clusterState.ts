import { type Clock, parseSocketAddress } from '@lovagearch/common';
import { CrashCounter } from '@lovagearch/containment';
import {
  type EndpointChange,
  type EndpointRecord,
  EndpointTable,
  PromptCacheEstimator,
} from '@lovagearch/endpoints';
import type { MirroredRow, StoreClock } from '@lovagearch/mirror';
import {
  ANNOUNCEMENT_TTL_MS,
  type AnnouncedOrder,
  type Publication,
  type RolloutEndpoint,
  type WeightTarget,
  WeightTargets,
} from '@lovagearch/rollout';
import { TrafficRules } from '@lovagearch/traffic';
import * as z from 'zod';
import {
  EXPIRY_GRACE_MS,
  EXPIRY_WINDOW_MS,
  MAX_FAULT_REASON_LENGTH,
  MIN_MISSED_HEARTBEATS_TO_LAPSE,
} from './constants.js';
import { EvacuatedZones } from './evacuatedZones.js';
import type { GatewayLog } from './gatewayLog.js';
import { computeAgeMs } from './storeTime.js';
import type { GatewayBounds, RowCodec } from './types.js';

/** Keys and key prefixes of the shared table. */
export const PEER_PREFIX = 'peer/';
export const ORDER_PREFIX = 'order/';
export const LEASE_KEY = 'lease/orders';

/** An address without a usable port makes the UDP socket throw. */
const addressSchema = z
  .string()
  .refine((text) => parseSocketAddress(text) !== undefined, 'not an IPv4 address and port');
const peerSchema = z.object({
  address: addressSchema,
  loadAddress: addressSchema,
  zone: z.string(),
});
export type PeerRecord = z.infer<typeof peerSchema>;
const orderSchema = z.object({
  model: z.string(),
  version: z.number().int(),
  announcedAtStoreMs: z.number().optional(),
});

/** The settings on which the state depends. */
export interface ClusterStateSettings {
  readonly bounds: Pick<GatewayBounds, 'contactLimitMs' | 'weightRolloutLimitMs'>;
  readonly heartbeatMs: number;
}

/** Returns how long the store has to be away for entries to lapse, in milliseconds. */
export const computeMinOutageMs = (heartbeatMs: number): number =>
  heartbeatMs * MIN_MISSED_HEARTBEATS_TO_LAPSE;

/** Returns the id of the write that made the value of the lease's row, or null if the value has none. */
export const readAttemptId = (value: unknown): string | null =>
  typeof value === 'object' &&
  value !== null &&
  'attemptId' in value &&
  typeof value.attemptId === 'string'
    ? value.attemptId
    : null;

/**
 * The state of the deployment as this process knows it from the rows of the mirrored tables. Versions
 * only increase: an older configuration or weight version is ignored.
 */
export class ClusterState {
  readonly endpoints = EndpointTable.create();

  readonly promptMemory = PromptCacheEstimator.create();

  readonly strikes = CrashCounter.create();

  readonly weightTargets: WeightTargets;

  private currentTrafficRules: TrafficRules | undefined;

  private readonly peers = new Map<string, z.infer<typeof peerSchema>>();

  private currentPeerRevision = 0;

  readonly evacuatedZones: EvacuatedZones;

  private readonly announcedOrders = new Map<
    string,
    AnnouncedOrder & { readonly endsMs: number }
  >();

  private storeRecoveredAtMs = Number.NEGATIVE_INFINITY;

  private isStoreUnreachable = false;

  private readonly startMs: number;

  private constructor(
    private readonly codec: RowCodec,
    private readonly clock: Clock,
    private readonly storeClock: StoreClock,
    private readonly settings: ClusterStateSettings,
    private readonly log: GatewayLog,
  ) {
    this.weightTargets = WeightTargets.create(settings.bounds.weightRolloutLimitMs);
    this.startMs = clock.nowMs();
    this.evacuatedZones = EvacuatedZones.create({
      endpoints: this.endpoints,
      getTrafficRules: () => this.currentTrafficRules,
      clock,
      storeClock,
      log,
    });
  }

  static create(
    codec: RowCodec,
    clock: Clock,
    storeClock: StoreClock,
    settings: ClusterStateSettings,
    log: GatewayLog,
  ): ClusterState {
    return new ClusterState(codec, clock, storeClock, settings, log);
  }

  get trafficRules(): TrafficRules | undefined {
    return this.currentTrafficRules;
  }

  /** Number of nodes that share retry budgets and connections, including this one; at least one. */
  get nodeCount(): number {
    return Math.max(1, this.peers.size);
  }

  /** Changes with the set of nodes that have announced themselves. */
  get peerRevision(): number {
    return this.currentPeerRevision;
  }

  /** Lists the addresses of the nodes that have announced themselves. */
  listPeerAddresses(): string[] {
    return [...this.peers.values()].map(({ address }) => address);
  }

  findPeer(name: string): PeerRecord | undefined {
    return this.peers.get(name);
  }

  /** Lists the nodes that have announced themselves, by name. */
  listPeers(): IterableIterator<[string, PeerRecord]> {
    return this.peers.entries();
  }

  /** Lists the names of the nodes that have announced themselves. */
  listPeerNames(): string[] {
    return [...this.peers.keys()];
  }

  listWeightTargets(): WeightTarget[] {
    return this.weightTargets.listTargets();
  }

  findWeightTarget(model: string): WeightTarget | undefined {
    return this.weightTargets.findTarget(model);
  }

  /**
   * Returns the time for which requests may still start on a version of a model's weights, in milliseconds; not
   * positive if a newer version is overdue.
   */
  getWeightsRemainingMs(model: string, version: number): number {
    return this.weightTargets.getRemainingMs(model, version, this.storeClock.nowMs());
  }

  /** Whether an endpoint is still carrying out an order, during which it rejects requests. */
  isChangingWeights(endpointId: string, nowMs: number): boolean {
    const order = this.announcedOrders.get(endpointId);
    if (order === undefined) return false;
    const version = this.endpoints.findEndpoint(endpointId)?.record.weights.get(order.model) ?? 0;
    if (nowMs < order.endsMs && version < order.version) return true;
    this.announcedOrders.delete(endpointId);
    return false;
  }

  recordStoreUnreachable(): void {
    this.isStoreUnreachable = true;
  }

  /**
   * Records that a call for the registrations succeeded after a failed one.
   *
   * @param copyAgeMs age that the copy of the registrations had reached, in milliseconds
   * @returns whether entries may have lapsed meanwhile
   */
  recordStoreRecovered(copyAgeMs: number): boolean {
    this.isStoreUnreachable = false;
    // An entry lapses after several missed heartbeats, so it can't have lapsed while a single call was lost.
    if (copyAgeMs < computeMinOutageMs(this.settings.heartbeatMs)) return false;
    this.storeRecoveredAtMs = this.clock.nowMs();
    return true;
  }

  /** Records that the store was available while this node didn't reach it, so that no entry has lapsed. */
  refuteOutage(): void {
    this.storeRecoveredAtMs = Number.NEGATIVE_INFINITY;
    this.logRemovals(
      this.endpoints.confirmRemovals(this.clock.nowMs()),
      'left during an interruption',
    );
  }

  /**
   * Whether the store has recovered so recently that its table may lack endpoints that are alive: their
   * entries expired during the outage and were not renewed yet.
   */
  isAwaitingRegistrations(): boolean {
    return this.clock.nowMs() - this.storeRecoveredAtMs < EXPIRY_WINDOW_MS;
  }

  applyOperatorRow({ key, value, version }: MirroredRow, committedAfterMs?: number): void {
    const evacuation = this.codec.decodeEvacuation(key);
    if (evacuation.type === 'fault') this.logRejectedRow('evacuation', key, evacuation.reason);
    if (evacuation.type === 'value')
      this.evacuatedZones.applyRow({
        zone: evacuation.value,
        isEvacuated: value !== undefined,
        version,
        committedAfterMs,
      });
    if (evacuation.type !== 'ignored' || value === undefined) return;
    const configuration = this.codec.decodeConfiguration(key, value);
    if (configuration.type === 'fault')
      this.logRejectedRow('configuration', key, configuration.reason);
    if (configuration.type === 'value') {
      const known = this.currentTrafficRules?.version ?? -1;
      if (configuration.value.version <= known) return;
      this.currentTrafficRules = TrafficRules.create(configuration.value);
      this.log.logStateChange('configuration_applied', {
        version: configuration.value.version,
        previous: known,
        rowVersion: version,
        routes: configuration.value.routes.length,
      });
      return;
    }
    const target = this.codec.decodeWeightTarget(key, value);
    if (target.type === 'fault') this.logRejectedRow('weight_target', key, target.reason);
    if (target.type !== 'value') return;
    const publication: Publication =
      committedAfterMs === undefined
        ? { type: 'assumed', committedAfterMs: this.computeAssumedPublicationMs() }
        : { type: 'observed', committedAfterMs };
    if (!this.weightTargets.recordTarget(target.value, publication)) return;
    const { model } = target.value;
    this.log.logStateChange('weights_named', {
      ...target.value,
      rowVersion: version,
      publication: publication.type,
      remainingMs: Math.round(this.getWeightsRemainingMs(model, target.value.version - 1)),
    });
  }

  applyEndpointRow({ key, value, version }: MirroredRow): void {
    const nowMs = this.clock.nowMs();
    if (value === undefined) {
      this.applyEndpointRemoval(key, version, nowMs);
      return;
    }
    const record = this.codec.decodeEndpoint(key, value);
    if (record.type === 'fault') {
      this.logRejectedRow('endpoint', key, record.reason);
      this.applyEndpointRemoval(key, version, nowMs);
    }
    if (record.type !== 'value') return;
    const change = this.endpoints.applyRecord(record.value, nowMs);
    this.applyWarmup(record.value, change?.type === 'restarted', nowMs);
    if (change === undefined) return;
    this.log.logStateChange(`endpoint_${change.type}`, {
      endpoint: key,
      service: change.record.service,
      address: change.record.address,
      zone: change.record.zone,
      rowVersion: version,
    });
  }

  applySharedRow({ key, value }: MirroredRow): void {
    if (key.startsWith(PEER_PREFIX)) {
      this.applyPeer(key.slice(PEER_PREFIX.length), value);
      return;
    }
    if (value === undefined) return;
    if (key.startsWith(ORDER_PREFIX)) this.applyOrder(key.slice(ORDER_PREFIX.length), value);
  }

  /** Records an order that any node announced, so that its endpoint is avoided while it changes weights. */
  recordAnnouncedOrder(order: AnnouncedOrder): void {
    const ageMs = computeAgeMs(this.storeClock, order.announcedAtStoreMs);
    this.announcedOrders.set(order.endpointId, {
      ...order,
      endsMs: this.clock.nowMs() + ANNOUNCEMENT_TTL_MS - ageMs,
    });
  }

  /** Records weights that an endpoint reported or responded with; its registration is updated later. */
  recordEndpointWeights(endpointId: string, model: string, version: number): void {
    const endpoint = this.endpoints.findEndpoint(endpointId);
    if (endpoint === undefined) return;
    const known = endpoint.record.weights.get(model) ?? 0;
    if (known >= version) return;
    const weights = new Map(endpoint.record.weights).set(model, version);
    endpoint.updateRecord({ ...endpoint.record, weights }, this.clock.nowMs());
  }

  /** Records that an endpoint reported its leaving in response to a call that was no request. */
  recordEndpointLeaving({ id, startedUnixMs }: RolloutEndpoint): void {
    const endpoint = this.endpoints.findEndpoint(id);
    if (endpoint?.record.startedUnixMs !== startedUnixMs) return;
    if (endpoint.statements.leaving.applyStatement({ type: 'leaving' }) === undefined) return;
    this.log.logStateChange('endpoint_leaving_announced', { endpoint: id, startedUnixMs });
  }

  /** Removes endpoints that did not register again after an outage of the store. */
  removeExpiredEndpoints(): void {
    const removed = this.endpoints.removeLapsed(this.clock.nowMs());
    this.logRemovals(removed, 'registration expired and was not renewed');
  }

  /**
   * Returns a time of publication for a version that the first read after a start contains: its limit then ends
   * when the limits begin to bind a node that has just started.
   */
  private computeAssumedPublicationMs(): number {
    const storeMs = this.storeClock.nowMs() ?? 0;
    const { contactLimitMs, weightRolloutLimitMs } = this.settings.bounds;
    const startedAtStoreMs = storeMs - (this.clock.nowMs() - this.startMs);
    return startedAtStoreMs + contactLimitMs - weightRolloutLimitMs;
  }

  /** Applies what a registration says about the coldness of its endpoint, unless the registration was ignored. */
  private applyWarmup(record: EndpointRecord, isRestart: boolean, nowMs: number): void {
    const endpoint = this.endpoints.findEndpoint(record.id);
    if (endpoint?.record !== record) return;
    const { coldness } = endpoint.statements;
    const coldStart = this.currentTrafficRules?.findService(record.service)?.coldStart;
    if (isRestart && coldStart !== undefined)
      coldness.recordRestart(record, coldStart.durationMs, nowMs);
    else coldness.applyRegistration(record, nowMs);
  }

  private applyEndpointRemoval(key: string, version: number, nowMs: number): void {
    // Entries expire during an outage of the store; endpoints that are alive soon register again.
    const sinceRecoveryMs = nowMs - this.storeRecoveredAtMs;
    const mayHaveExpired = this.isStoreUnreachable || sinceRecoveryMs < EXPIRY_WINDOW_MS;
    const graceMs = mayHaveExpired
      ? Math.max(1, EXPIRY_GRACE_MS - Math.max(0, sinceRecoveryMs))
      : 0;
    const change = this.endpoints.applyRemoval(key, graceMs, nowMs);
    if (change === undefined) return;
    this.log.logStateChange(`endpoint_${change.type}`, {
      endpoint: key,
      service: change.record.service,
      rowVersion: version,
      graceMs,
    });
  }

  private logRemovals(changes: readonly EndpointChange[], reason: string): void {
    for (const { type, record } of changes)
      this.log.logStateChange(`endpoint_${type}`, { endpoint: record.id, reason });
  }

  private applyPeer(name: string, value: string | undefined): void {
    if (value === undefined) {
      if (this.peers.delete(name)) this.currentPeerRevision += 1;
      return;
    }
    const peer = peerSchema.safeParse(this.codec.decodeSharedValue(value));
    if (!peer.success) {
      this.logRejectedRow('peer', name, peer.error.message);
      return;
    }
    const known = this.peers.get(name);
    if (known?.address === peer.data.address) return;
    if (known === undefined) this.currentPeerRevision += 1;
    this.peers.set(name, peer.data);
    this.log.logStateChange('peer_known', { peer: name, nodes: this.peers.size });
  }

  private applyOrder(endpointId: string, value: string): void {
    const order = orderSchema.safeParse(this.codec.decodeSharedValue(value));
    if (order.success) this.recordAnnouncedOrder({ endpointId, ...order.data });
    else this.logRejectedRow('order', endpointId, order.error.message);
  }

  private logRejectedRow(kind: string, key: string, reason: string): void {
    this.log.logStateChange('row_rejected', {
      kind,
      key,
      reason: reason.slice(0, MAX_FAULT_REASON_LENGTH),
    });
  }
}
