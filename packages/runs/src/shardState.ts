import { assertNever, type AttemptId, type NodeId } from '@lovagearch/common';
import { MAX_KEYS_PER_SHARD, MAX_RESPONSE_BYTES_PER_SHARD } from './constants.js';
import { getRunId, type BeginRequest, type RunRecord, type StoredResponse } from './types.js';

type RunEntry =
  | {
      readonly type: 'begun';
      readonly sequence: number;
      readonly attempt: AttemptId;
      readonly bodyHash: string;
      readonly holder: NodeId;
    }
  | {
      readonly type: 'finished';
      readonly sequence: number;
      readonly attempt: AttemptId;
      readonly bodyHash: string;
      /** Undefined after eviction from memory; the row at `sequence` still contains it. */
      readonly response: StoredResponse | undefined;
    }
  | {
      readonly type: 'abandoned';
      readonly sequence: number;
      readonly attempt: AttemptId;
      readonly bodyHash: string;
    }
  | {
      readonly type: 'released';
      readonly sequence: number;
      readonly attempt: AttemptId;
      readonly bodyHash: string;
    };

/** Decision on a begin request. `grant`: the owner has to write `begun` before it answers. */
export type BeginDecision =
  | { readonly type: 'grant' }
  /** The same attempt has already been granted. */
  | { readonly type: 'granted_before' }
  | { readonly type: 'recorded'; readonly response: StoredResponse }
  /** The response is no longer in memory. */
  | { readonly type: 'recorded_in_row'; readonly sequence: number }
  /** The shard doesn't know whether the holder is still working on the attempt. */
  | { readonly type: 'in_progress'; readonly holder: NodeId; readonly attempt: AttemptId }
  /** The attempt was abandoned without a known outcome. */
  | { readonly type: 'unknown' }
  /** The key belongs to a request with another body. */
  | { readonly type: 'key_reused' }
  /** The attempt was released because its requester gave up. */
  | { readonly type: 'attempt_over' }
  | { readonly type: 'full' };

const getInlineBytes = (response: StoredResponse | undefined): number =>
  response?.body.type === 'inline' ? response.body.bytes.length : 0;

/**
 * The runs of one shard, computed from its records in log order. A run is the execution of a call
 * with an idempotency key. Only durable records may be applied.
 *
 * @example
 * const state = ShardState.create();
 * state.applyRecord(record, 17);
 * state.getBeginDecision(request);
 */
export class ShardState {
  /** Ordered by each key's last record, which `removeExpired` relies on. */
  private readonly entries = new Map<string, RunEntry>();

  /** Ids of finished runs whose inline response is in memory, oldest first. */
  private readonly cachedResponseIds = new Set<string>();

  private cachedResponseBytes = 0;

  private constructor(
    private readonly maxKeys: number,
    private readonly maxResponseBytes: number,
  ) {}

  static create(
    maxKeys = MAX_KEYS_PER_SHARD,
    maxResponseBytes = MAX_RESPONSE_BYTES_PER_SHARD,
  ): ShardState {
    return new ShardState(maxKeys, maxResponseBytes);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Applies a durable record of the segment with this sequence number. */
  applyRecord(record: RunRecord, sequence: number): void {
    const id = getRunId(record);
    const current = this.entries.get(id);
    const { attempt, bodyHash } = record;
    const isSameAttempt = current === undefined || current.attempt === attempt;
    switch (record.type) {
      case 'begun':
        // The owner only grants free keys. A `begun` of another attempt therefore follows an expiry
        // or a release, even if older records of the key are still in the log.
        if (current?.attempt === attempt) return;
        this.updateEntry(id, { type: 'begun', sequence, attempt, bodyHash, holder: record.holder });
        return;
      case 'finished':
        if (!isSameAttempt || current?.type === 'finished' || current?.type === 'released') return;
        this.updateEntry(id, {
          type: 'finished',
          sequence,
          attempt,
          bodyHash,
          response: record.response,
        });
        return;
      case 'released':
      case 'abandoned':
        if (!isSameAttempt || (current !== undefined && current.type !== 'begun')) return;
        this.updateEntry(id, { type: record.type, sequence, attempt, bodyHash });
        return;
      default:
        assertNever(record);
    }
  }

  /** Returns the decision on a begin request without changing the state. */
  getBeginDecision(request: BeginRequest): BeginDecision {
    const entry = this.entries.get(getRunId(request));
    if (entry === undefined) {
      return this.entries.size < this.maxKeys ? { type: 'grant' } : { type: 'full' };
    }
    if (entry.type === 'released') {
      return entry.attempt === request.attempt ? { type: 'attempt_over' } : { type: 'grant' };
    }
    if (entry.bodyHash !== request.bodyHash) return { type: 'key_reused' };
    switch (entry.type) {
      case 'begun':
        if (entry.attempt === request.attempt) return { type: 'granted_before' };
        return { type: 'in_progress', holder: entry.holder, attempt: entry.attempt };
      case 'finished':
        return entry.response === undefined
          ? { type: 'recorded_in_row', sequence: entry.sequence }
          : { type: 'recorded', response: entry.response };
      case 'abandoned':
        return { type: 'unknown' };
      default:
        return assertNever(entry);
    }
  }

  /** Returns the attempt of a key's last record. */
  getAttempt(run: { account: string; key: string }): AttemptId | undefined {
    return this.entries.get(getRunId(run))?.attempt;
  }

  /** Whether a key has no attempt, or only a released one. */
  isFree(run: { account: string; key: string }): boolean {
    const entry = this.entries.get(getRunId(run));
    return entry === undefined || entry.type === 'released';
  }

  /** Whether the last record of a key is the end of this attempt: finished, released or abandoned. */
  hasEnded(request: { account: string; key: string; attempt: AttemptId }): boolean {
    const entry = this.entries.get(getRunId(request));
    return entry?.attempt === request.attempt && entry.type !== 'begun';
  }

  /** Whether a node holds an attempt in progress; only its holder may end the attempt. */
  isHolder(request: { account: string; key: string; attempt: AttemptId }, node: NodeId): boolean {
    const entry = this.entries.get(getRunId(request));
    return entry?.type === 'begun' && entry.attempt === request.attempt && entry.holder === node;
  }

  /**
   * Removes the runs whose last record is in a segment up to this sequence number.
   *
   * @returns names of the objects that held their response bodies
   */
  removeExpired(throughSequence: number): readonly string[] {
    const objectNames: string[] = [];
    for (const [id, entry] of this.entries) {
      if (entry.sequence > throughSequence) break;
      if (entry.type === 'finished' && entry.response?.body.type === 'object') {
        objectNames.push(entry.response.body.name);
      }
      this.removeCachedResponse(id);
      this.entries.delete(id);
    }
    return objectNames;
  }

  private updateEntry(id: string, entry: RunEntry): void {
    this.removeCachedResponse(id);
    this.entries.delete(id);
    this.entries.set(id, entry);
    if (entry.type !== 'finished' || getInlineBytes(entry.response) === 0) return;
    this.cachedResponseIds.add(id);
    this.cachedResponseBytes += getInlineBytes(entry.response);
    while (this.cachedResponseBytes > this.maxResponseBytes && this.evictOldestResponse());
  }

  private removeCachedResponse(id: string): void {
    if (!this.cachedResponseIds.delete(id)) return;
    const entry = this.entries.get(id);
    if (entry?.type === 'finished') this.cachedResponseBytes -= getInlineBytes(entry.response);
  }

  private evictOldestResponse(): boolean {
    const oldest = this.cachedResponseIds.values().next();
    if (oldest.done) return false;
    this.removeCachedResponse(oldest.value);
    const entry = this.entries.get(oldest.value);
    // Setting an existing key keeps its position in the map.
    if (entry?.type === 'finished')
      this.entries.set(oldest.value, { ...entry, response: undefined });
    return true;
  }
}
