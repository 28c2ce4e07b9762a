import { SEPARATE_ATTEMPTS_MS, VERIFIED_MS, VERIFY_INTERVAL_MS } from './constants.js';
import {
  findInferredLosses,
  findUntriedMembers,
  type GroupLoss,
  type GroupMember,
} from './groupLoss.js';
import { LinkRecord } from './linkRecord.js';
import { findSilentEndpoints } from './silentEndpoints.js';
import type {
  ConnectFailureCause,
  LinkChange,
  LinkState,
  LinkSuspicion,
  ObservedEndpoint,
} from './types.js';
import { VerificationLimit } from './verificationLimit.js';

/** What a review of the evidence found. */
export interface LinkReview {
  readonly changes: readonly LinkChange[];
  /** Endpoints under suspicion at which a connection should be attempted now. */
  readonly toVerify: readonly LinkSuspicion[];
}

/** Returns the time from one attempt that verifies a suspicion to the next. */
const getVerificationPauseMs = ({ connectedAtMs, failures, verifiedAtMs }: LinkRecord): number => {
  if (connectedAtMs >= verifiedAtMs) return VERIFIED_MS;
  return failures === undefined || failures.cause === 'timeout'
    ? VERIFY_INTERVAL_MS
    : SEPARATE_ATTEMPTS_MS;
};

const REACHABLE: LinkState = { type: 'reachable' };

/**
 * Which endpoints this node reaches over the network, by endpoint start. A link is lost if attempts to open connections
 * fail repeatedly, or fail while requests on open connections get no byte. What peers hear of the endpoint tells a lost
 * link from an endpoint that has ended. Silence and overload alone are no evidence: they only make the node try a
 * connection.
 *
 * @example
 * const links = EndpointLinks.create();
 * links.recordConnectFailed('i-7f3a/1700000000000', 'llm', 'timeout', beganAtMs);
 * const { changes, toVerify } = links.review(endpoints, clock.nowMs());
 */
export class EndpointLinks {
  private readonly records = new Map<string, LinkRecord>();

  /** Endpoints with failed attempts or out of reach. */
  private readonly suspects = new Set<string>();

  private readonly verifications = VerificationLimit.create();

  private outOfReachCount = 0;

  static create(): EndpointLinks {
    return new EndpointLinks();
  }

  /** Whether any endpoint is out of reach; false on calm days. */
  get hasLost(): boolean {
    return this.outOfReachCount > 0;
  }

  /** Number of endpoints that are out of reach, or reached only over open connections. */
  get lostCount(): number {
    return this.outOfReachCount;
  }

  /** Returns what is known of the link to an endpoint; one without evidence counts as reachable. */
  getState(key: string): LinkState {
    if (this.outOfReachCount === 0) return REACHABLE;
    return this.records.get(key)?.state ?? REACHABLE;
  }

  /** Whether anything was heard since a clock reading from an endpoint of a service that is in reach. */
  hasHeardSince(service: string, sinceMs: number): boolean {
    for (const record of this.records.values())
      if (
        record.service === service &&
        record.state.type === 'reachable' &&
        record.heardAtMs > sinceMs
      )
        return true;
    return false;
  }

  /** Records that a request is sent; it is outstanding until `recordSettled`. */
  recordSent(key: string, service: string, atMs: number): void {
    this.getRecord(key, service).recordSent(atMs);
  }

  /** Records that a request is no longer outstanding. */
  recordSettled(key: string): void {
    this.records.get(key)?.recordSettled();
  }

  /** Records bytes that were received on any connection to an endpoint. */
  recordBytes(key: string, service: string, atMs: number): void {
    this.getRecord(key, service).recordBytes(atMs);
  }

  /** Records a connection that was opened. */
  recordConnected(key: string, service: string, atMs: number): void {
    this.getRecord(key, service).recordConnected(atMs);
  }

  /** Records an attempt to open a connection that has failed, or is overdue. */
  recordConnectFailed(
    key: string,
    service: string,
    cause: ConnectFailureCause,
    beganAtMs: number,
  ): void {
    const record = this.getRecord(key, service);
    record.recordFailure(cause, beganAtMs);
    if (record.failures !== undefined) this.suspects.add(key);
  }

  /** Records that the registration of an endpoint is gone, or replaced by that of another start. */
  recordGone(key: string): void {
    const record = this.records.get(key);
    if (record === undefined) return;
    if (record.state.type !== 'reachable') this.outOfReachCount -= 1;
    this.records.delete(key);
    this.suspects.delete(key);
  }

  /** Number of endpoint starts with evidence. */
  get size(): number {
    return this.records.size;
  }

  /** Lists the endpoint starts with evidence. */
  listKeys(): string[] {
    return [...this.records.keys()];
  }

  /** Restarts the waits of outstanding requests after a time in which this process received nothing itself. */
  restartWaits(nowMs: number): void {
    for (const record of this.records.values())
      if (record.waitingSinceMs !== undefined) record.waitingSinceMs = nowMs;
  }

  /** Whether there is anything for a review to decide; cheap on calm days. */
  needsReview(nowMs: number): boolean {
    if (this.suspects.size > 0) return true;
    return findSilentEndpoints(this.records, nowMs, () => nowMs).length > 0;
  }

  /**
   * Decides the states of all links.
   *
   * @param endpoints all registered endpoints
   */
  review(endpoints: readonly ObservedEndpoint[], nowMs: number): LinkReview {
    const members = endpoints.map((endpoint) => ({
      endpoint,
      record: this.records.get(endpoint.key),
    }));
    for (const [{ endpoint }, loss] of findInferredLosses(members, nowMs))
      this.applyGroupLoss(endpoint, loss);
    const changes: LinkChange[] = [];
    for (const endpoint of endpoints) {
      const change = this.applyState(endpoint, nowMs);
      if (change !== undefined) changes.push(change);
    }
    return { changes, toVerify: this.selectToVerify(members, nowMs) };
  }

  private getRecord(key: string, service: string): LinkRecord {
    const known = this.records.get(key);
    if (known !== undefined) return known;
    const created = LinkRecord.create(service);
    this.records.set(key, created);
    return created;
  }

  private applyGroupLoss({ key, service }: ObservedEndpoint, loss: GroupLoss): void {
    const record = this.getRecord(key, service);
    if (record.groupLoss !== undefined && !loss.isHeardElsewhere) return;
    record.groupLoss ??= loss;
    if (loss.isHeardElsewhere && !record.groupLoss.isHeardElsewhere)
      record.groupLoss = { ...record.groupLoss, isHeardElsewhere: true };
    this.suspects.add(key);
  }

  private applyState(endpoint: ObservedEndpoint, nowMs: number): LinkChange | undefined {
    const { key, heardElsewhereAtMs } = endpoint;
    if (!this.suspects.has(key)) return undefined;
    const record = this.records.get(key);
    if (record === undefined) return undefined;
    const to = record.decideState(heardElsewhereAtMs, nowMs);
    if (to.type === 'reachable' && record.failures === undefined) this.suspects.delete(key);
    const from = record.changeState(to, nowMs);
    if (from === undefined) return undefined;
    if (from.type === 'reachable') this.outOfReachCount += 1;
    if (to.type === 'reachable') this.outOfReachCount -= 1;
    return {
      endpoint,
      from,
      to,
      isInferred: record.failures === undefined && record.groupLoss !== undefined,
      bytesAgeMs: nowMs - record.bytesAtMs,
      heardElsewhereAgeMs: nowMs - heardElsewhereAtMs,
    };
  }

  /** Selects the endpoints under suspicion that a connection should be opened to, as evidence. */
  private selectToVerify(members: readonly GroupMember[], nowMs: number): LinkSuspicion[] {
    const byKey = new Map(members.map(({ endpoint }) => [endpoint.key, endpoint]));
    const getHeardAtMs = (key: string): number =>
      byKey.get(key)?.heardElsewhereAtMs ?? Number.NEGATIVE_INFINITY;
    const suspected = new Set(this.suspects);
    for (const key of findSilentEndpoints(this.records, nowMs, getHeardAtMs)) suspected.add(key);
    for (const { endpoint } of findUntriedMembers(members, nowMs)) suspected.add(endpoint.key);
    const toVerify: LinkSuspicion[] = [];
    for (const key of suspected) {
      if (!this.verifications.canTake(nowMs)) break;
      const endpoint = byKey.get(key);
      if (endpoint === undefined) continue;
      const record = this.getRecord(key, endpoint.service);
      if (record.state.type !== 'reachable') continue;
      if (nowMs - record.verifiedAtMs < getVerificationPauseMs(record)) continue;
      record.verifiedAtMs = nowMs;
      this.verifications.take(nowMs);
      const { bytesAtMs, failures, waitingSinceMs } = record;
      toVerify.push({
        endpoint,
        cause: failures?.cause ?? 'silence',
        failingForMs: nowMs - (failures?.beganAtMs ?? waitingSinceMs ?? nowMs),
        bytesAgeMs: nowMs - bytesAtMs,
        heardElsewhereAgeMs: nowMs - endpoint.heardElsewhereAtMs,
      });
    }
    return toVerify;
  }
}
