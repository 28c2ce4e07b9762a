import { Endpoint } from './endpoint.js';
import { computeDigestKey } from './loadDigest.js';
import type { EndpointRecord } from './types.js';

/** What a registration changed. */
export type EndpointChange =
  | { readonly type: 'added'; readonly record: EndpointRecord }
  | { readonly type: 'draining'; readonly record: EndpointRecord }
  | { readonly type: 'lapsed'; readonly record: EndpointRecord }
  | { readonly type: 'removed'; readonly record: EndpointRecord }
  | { readonly type: 'restarted'; readonly record: EndpointRecord };

interface PendingRemoval {
  /** Clock reading at which the endpoint counts as gone unless it registers again. */
  readonly removeAtMs: number;
}

/**
 * All endpoints that are registered. An entry that is missing after an outage of the store may have
 * lapsed while its endpoint lived: the endpoint stays in use until a short time after the return.
 *
 * @example
 * const table = EndpointTable.create();
 * table.applyRecord(record, clock.nowMs());
 */
export class EndpointTable {
  private readonly endpoints = new Map<string, Endpoint>();

  private readonly idsByService = new Map<string, Set<string>>();

  private readonly idsByDigestKey = new Map<number, string>();

  private readonly pendingRemovals = new Map<string, PendingRemoval>();

  static create(): EndpointTable {
    return new EndpointTable();
  }

  /** Returns the endpoint of an id, or undefined if it is not registered. */
  findEndpoint(id: string): Endpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Returns the endpoint that a number stands for in load digests. */
  findEndpointByDigestKey(key: number): Endpoint | undefined {
    const id = this.idsByDigestKey.get(key);
    return id === undefined ? undefined : this.endpoints.get(id);
  }

  /** Lists the endpoints of a service that take new requests. */
  listReady(service: string): Endpoint[] {
    const ready: Endpoint[] = [];
    for (const id of this.idsByService.get(service) ?? []) {
      const endpoint = this.endpoints.get(id);
      if (endpoint?.record.state === 'ready') ready.push(endpoint);
    }
    return ready;
  }

  listAll(): IterableIterator<Endpoint> {
    return this.endpoints.values();
  }

  get size(): number {
    return this.endpoints.size;
  }

  /** Takes in a registration; reports of an earlier start or an earlier heartbeat change nothing. */
  applyRecord(record: EndpointRecord, nowMs: number): EndpointChange | undefined {
    const known = this.endpoints.get(record.id);
    if (known === undefined) return this.addEndpoint(record, nowMs, 'added');
    const { startedUnixMs, heartbeat, state } = known.record;
    if (record.startedUnixMs < startedUnixMs) return undefined;
    if (record.startedUnixMs > startedUnixMs || record.address !== known.record.address) {
      this.removeEndpoint(known);
      return this.addEndpoint(record, nowMs, 'restarted');
    }
    if (record.heartbeat < heartbeat) return undefined;
    this.pendingRemovals.delete(record.id);
    known.updateRecord(record, nowMs);
    if (record.state === state || record.state === 'ready') return undefined;
    return { type: 'draining', record };
  }

  /**
   * Takes in that an entry is gone.
   *
   * @param graceMs time that the endpoint has to register again; 0 if the entry did not lapse while
   * the store was away
   */
  applyRemoval(id: string, graceMs: number, nowMs: number): EndpointChange | undefined {
    const known = this.endpoints.get(id);
    if (known === undefined) return undefined;
    if (graceMs > 0 && known.record.state === 'ready') {
      if (!this.pendingRemovals.has(id))
        this.pendingRemovals.set(id, { removeAtMs: nowMs + graceMs });
      return { type: 'lapsed', record: known.record };
    }
    this.removeEndpoint(known);
    return { type: 'removed', record: known.record };
  }

  /** Removes the endpoints that did not register again in time. */
  removeLapsed(nowMs: number): EndpointChange[] {
    const changes: EndpointChange[] = [];
    for (const [id, { removeAtMs: endsMs }] of this.pendingRemovals) {
      if (nowMs < endsMs) continue;
      const known = this.endpoints.get(id);
      this.pendingRemovals.delete(id);
      if (known === undefined) continue;
      this.removeEndpoint(known);
      changes.push({ type: 'removed', record: known.record });
    }
    return changes;
  }

  private addEndpoint(
    record: EndpointRecord,
    nowMs: number,
    type: 'added' | 'restarted',
  ): EndpointChange {
    this.endpoints.set(record.id, Endpoint.create(record, nowMs));
    this.idsByDigestKey.set(computeDigestKey(record.id), record.id);
    const ids = this.idsByService.get(record.service) ?? new Set<string>();
    ids.add(record.id);
    this.idsByService.set(record.service, ids);
    return { type, record };
  }

  private removeEndpoint({ record }: Endpoint): void {
    this.endpoints.delete(record.id);
    this.idsByDigestKey.delete(computeDigestKey(record.id));
    this.idsByService.get(record.service)?.delete(record.id);
    this.pendingRemovals.delete(record.id);
  }
}
