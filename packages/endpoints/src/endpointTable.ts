import { BoundedMap } from '@lovagearch/common';
import { EngineTimings } from '@lovagearch/estimation';
import { MAX_TIMED_SERVICES, MAX_UNREGISTERED_STARTS } from './constants.js';
import { Endpoint } from './endpoint.js';
import type { EndpointStatements } from './endpointStatements.js';
import { computeDigestKey } from './loadDigest.js';
import { SoftwareVersions, type VersionUse } from './softwareVersions.js';
import type { EndpointRecord } from './types.js';

/** A change in the set or state of endpoints. */
export type EndpointChange =
  | { readonly type: 'added'; readonly record: EndpointRecord }
  | { readonly type: 'draining'; readonly record: EndpointRecord }
  | { readonly type: 'lapsed'; readonly record: EndpointRecord }
  | { readonly type: 'removed'; readonly record: EndpointRecord }
  | { readonly type: 'restarted'; readonly record: EndpointRecord };

interface PendingRemoval {
  /** Clock reading at which the endpoint is removed unless it registers again. */
  readonly removeAtMs: number;
}

/** Entries that look older than the known one, in the order in which the store accepted them. */
interface OlderEntries {
  readonly startedUnixMs: number;
  readonly heartbeat: number;
  /** Number of successive entries of this start whose heartbeat count rose. */
  readonly count: number;
}

/**
 * Successive entries with rising counts after which they replace a known one with a higher count. A write
 * that the store carried out late comes alone; an endpoint writes again after each heartbeat interval.
 */
const MIN_RISING_ENTRIES = 3;

const isOlder = (record: EndpointRecord, known: EndpointRecord): boolean =>
  record.startedUnixMs < known.startedUnixMs ||
  (record.startedUnixMs === known.startedUnixMs &&
    record.address === known.address &&
    record.heartbeat < known.heartbeat);

/** Returns a key that differs between the starts of an endpoint. */
const getStartKey = ({ id, startedUnixMs }: EndpointRecord): string => `${id}/${startedUnixMs}`;

/**
 * All registered endpoints. During an outage of the store, entries of live endpoints can lapse. An
 * endpoint whose entry is missing afterwards stays in use for a grace period to register again.
 *
 * @example
 * const table = EndpointTable.create();
 * table.applyRecord(record, clock.nowMs());
 */
export class EndpointTable {
  private readonly endpoints = new Map<string, Endpoint>();

  private readonly idsByService = new Map<string, Set<string>>();

  /** Estimates by service; they outlast its endpoints, whose successors are of the same kind. */
  private readonly timingsByService = BoundedMap.create<string, EngineTimings>(MAX_TIMED_SERVICES);

  private readonly idsByDigestKey = new Map<number, string>();

  private readonly pendingRemovals = new Map<string, PendingRemoval>();

  private readonly olderEntries = new Map<string, OlderEntries>();

  /** What endpoints without a registration said; they may still run and register again. */
  private readonly unregisteredStatements = BoundedMap.create<string, EndpointStatements>(
    MAX_UNREGISTERED_STARTS,
  );

  /** Uses of software versions by endpoints that are gone, or that other nodes know. */
  private readonly softwareVersions = SoftwareVersions.create();

  static create(): EndpointTable {
    return new EndpointTable();
  }

  /** Returns the endpoint with an id, or undefined if it is not registered. */
  findEndpoint(id: string): Endpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Returns the endpoint with a key in load digests. */
  findEndpointByDigestKey(key: number): Endpoint | undefined {
    const id = this.idsByDigestKey.get(key);
    return id === undefined ? undefined : this.endpoints.get(id);
  }

  /** Lists the endpoints of a service that accept new requests. */
  listReady(service: string): Endpoint[] {
    const ready: Endpoint[] = [];
    for (const id of this.idsByService.get(service) ?? []) {
      const endpoint = this.endpoints.get(id);
      if (endpoint?.record.state === 'ready') ready.push(endpoint);
    }
    return ready;
  }

  /** Lists the software versions of the registered endpoints of a service. */
  listRegisteredSoftware(service: string): Set<string> {
    const versions = new Set<string>();
    for (const id of this.idsByService.get(service) ?? []) {
      const endpoint = this.endpoints.get(id);
      if (endpoint !== undefined) versions.add(endpoint.record.softwareVersion);
    }
    return versions;
  }

  /** Lists the software versions of a service that were in use within the last `windowMs`. */
  listSoftware(service: string, nowMs: number, windowMs: number): VersionUse[] {
    for (const version of this.listRegisteredSoftware(service))
      this.recordSoftwareUse(service, version, nowMs);
    return this.softwareVersions.listSince(service, nowMs - windowMs);
  }

  /** Records that endpoints of a service, which may be unknown here, had a software version. */
  recordSoftwareUse(service: string, version: string, atMs: number): void {
    this.softwareVersions.recordUse(service, version, atMs);
  }

  /** Records when the first endpoint of a service with a software version came into use. */
  recordFirstSoftwareUse(service: string, version: string, firstUseMs: number): void {
    this.softwareVersions.recordFirstUse(service, version, firstUseMs);
  }

  listAll(): IterableIterator<Endpoint> {
    return this.endpoints.values();
  }

  get size(): number {
    return this.endpoints.size;
  }

  /**
   * Applies a registration. One from an earlier start or with an earlier heartbeat is ignored, unless
   * others follow it: then the known one was an odd entry of another writer.
   */
  applyRecord(record: EndpointRecord, nowMs: number): EndpointChange | undefined {
    const known = this.endpoints.get(record.id);
    if (known === undefined) return this.addEndpoint(record, nowMs, 'added');
    const { startedUnixMs, address, state } = known.record;
    const isBehind = isOlder(record, known.record);
    if (isBehind && !this.isCounting(record)) return undefined;
    this.olderEntries.delete(record.id);
    if (isBehind || record.startedUnixMs > startedUnixMs || record.address !== address) {
      this.removeEndpoint(known, nowMs);
      return this.addEndpoint(record, nowMs, 'restarted');
    }
    this.pendingRemovals.delete(record.id);
    this.recordUseOf(known.record, nowMs);
    known.updateRecord(record, nowMs);
    if (record.state === state || record.state === 'ready') return undefined;
    return { type: 'draining', record };
  }

  /**
   * Applies the removal of an entry.
   *
   * @param graceMs time in which the endpoint can register again; 0 if the entry did not lapse during
   * an outage of the store
   */
  applyRemoval(id: string, graceMs: number, nowMs: number): EndpointChange | undefined {
    const known = this.endpoints.get(id);
    if (known === undefined) return undefined;
    if (graceMs > 0 && known.record.state === 'ready') {
      if (!this.pendingRemovals.has(id))
        this.pendingRemovals.set(id, { removeAtMs: nowMs + graceMs });
      return { type: 'lapsed', record: known.record };
    }
    this.removeEndpoint(known, nowMs);
    return { type: 'removed', record: known.record };
  }

  /** Removes the endpoints whose grace period ended without a new registration. */
  removeLapsed(nowMs: number): EndpointChange[] {
    return this.removePending(nowMs, ({ removeAtMs }) => nowMs >= removeAtMs);
  }

  /** Removes all endpoints that may register again, as none of their entries lapsed during an outage of the store. */
  confirmRemovals(nowMs: number): EndpointChange[] {
    return this.removePending(nowMs, () => true);
  }

  private removePending(
    nowMs: number,
    isDue: (removal: PendingRemoval) => boolean,
  ): EndpointChange[] {
    const changes: EndpointChange[] = [];
    for (const [id, removal] of this.pendingRemovals) {
      if (!isDue(removal)) continue;
      const known = this.endpoints.get(id);
      this.pendingRemovals.delete(id);
      if (known === undefined) continue;
      this.removeEndpoint(known, nowMs);
      changes.push({ type: 'removed', record: known.record });
    }
    return changes;
  }

  /** Records an entry that looks older; returns whether its endpoint has gone on counting. */
  private isCounting({ id, startedUnixMs, heartbeat }: EndpointRecord): boolean {
    const known = this.olderEntries.get(id);
    const isRising = known?.startedUnixMs === startedUnixMs && heartbeat > known.heartbeat;
    const count = isRising ? known.count + 1 : 1;
    this.olderEntries.set(id, { startedUnixMs, heartbeat, count });
    return count >= MIN_RISING_ENTRIES;
  }

  private addEndpoint(
    record: EndpointRecord,
    nowMs: number,
    type: 'added' | 'restarted',
  ): EndpointChange {
    const startKey = getStartKey(record);
    const statements = this.unregisteredStatements.peek(startKey);
    this.unregisteredStatements.delete(startKey);
    const timings = this.getTimings(record.service);
    this.endpoints.set(record.id, Endpoint.create(record, nowMs, statements, timings));
    this.idsByDigestKey.set(computeDigestKey(record.id), record.id);
    const ids = this.idsByService.get(record.service) ?? new Set<string>();
    ids.add(record.id);
    this.idsByService.set(record.service, ids);
    this.recordUseOf(record, nowMs);
    return { type, record };
  }

  private getTimings(service: string): EngineTimings {
    const timings = this.timingsByService.peek(service) ?? EngineTimings.create();
    this.timingsByService.set(service, timings);
    return timings;
  }

  private recordUseOf({ service, softwareVersion }: EndpointRecord, nowMs: number): void {
    this.recordSoftwareUse(service, softwareVersion, nowMs);
  }

  private removeEndpoint({ record, statements }: Endpoint, nowMs: number): void {
    this.recordUseOf(record, nowMs);
    // Responses to requests in progress can still change them.
    this.unregisteredStatements.set(getStartKey(record), statements);
    this.endpoints.delete(record.id);
    this.idsByDigestKey.delete(computeDigestKey(record.id));
    this.idsByService.get(record.service)?.delete(record.id);
    this.pendingRemovals.delete(record.id);
    this.olderEntries.delete(record.id);
  }
}
