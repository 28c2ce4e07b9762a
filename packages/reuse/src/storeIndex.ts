import { BoundedMap } from '@lovagearch/common';

/** Complete parts that are known of one store VM. */
const MAX_INDEXED_PARTS = 20_000;
/**
 * Age of the last answer of a store up to which its parts are read, in milliseconds. It is shorter than
 * the time that a restarted store is left without new parts, so that no node reads a part that it knew
 * before the restart while another one writes it again.
 */
export const INDEX_MAX_AGE_MS = 2_200;
/** Time that a store has to answer under one epoch before parts are kept there, in milliseconds. */
export const NEW_STORE_SAVE_DELAY_MS = 3_000;
/** Time after which a part that didn't show up at its store is sent again, in milliseconds. */
export const SAVE_RETRY_MS = 5_000;
/** Changes that are kept for nodes that follow the index. */
const MAX_LOGGED_CHANGES = 2_000;
/** Parts whose saving is remembered. */
const MAX_RECENT_SAVES = 4_096;

/** A part that a store VM keeps whole. */
export interface StoredPart {
  readonly salt: string;
  readonly id: string;
  readonly tokens: number;
  readonly model: string;
}

export interface StorePartEvent {
  readonly isAdded: boolean;
  readonly part: StoredPart;
}

/** What a node that watches a store tells one that doesn't. */
export interface StoreIndexUpdate {
  readonly epoch: number;
  /** Where the next call goes on. */
  readonly next: number;
  /** Age of the store's last answer, in milliseconds. */
  readonly ageMs: number;
  readonly events: readonly StorePartEvent[];
}

const createKey = (salt: string, id: string) => `${salt}/${id}`;

/**
 * What one store VM keeps whole, from its events. Events come late and some never: a part that is not
 * in the index may be there, but one in the index was complete under the same start of the store.
 *
 * @example
 * const index = StoreIndex.create();
 * index.applyAnswer(epoch, events, clock.nowMs());
 * if (index.canRead('v1', '5c1e07a2', clock.nowMs())) readFromStore();
 */
export class StoreIndex {
  private readonly parts = BoundedMap.create<string, StoredPart>(MAX_INDEXED_PARTS);

  /** The last changes, for nodes that follow this index instead of the store. */
  private changes: StorePartEvent[] = [];

  /** Number of the first change in `changes`. */
  private firstChangeNumber = 0;

  private readonly recentSaves = BoundedMap.create<string, number>(MAX_RECENT_SAVES);

  private currentEpoch: number | undefined;

  private epochSinceMs = Number.POSITIVE_INFINITY;

  private lastResponseMs = Number.NEGATIVE_INFINITY;

  static create(): StoreIndex {
    return new StoreIndex();
  }

  /** Names the start of the store that the index is valid for. */
  get epoch(): number | undefined {
    return this.currentEpoch;
  }

  get size(): number {
    return this.parts.size;
  }

  /**
   * Takes in an answer of the store.
   *
   * @returns false if the store has restarted, after which its events are read from the beginning
   */
  applyResponse(epoch: number, events: readonly StorePartEvent[], nowMs: number): boolean {
    this.lastResponseMs = nowMs;
    if (epoch !== this.currentEpoch) {
      this.removeAll();
      this.currentEpoch = epoch;
      this.epochSinceMs = nowMs;
      return false;
    }
    for (const { isAdded, part } of events) {
      const key = createKey(part.salt, part.id);
      if (isAdded) this.parts.set(key, part);
      else this.parts.delete(key);
      this.changes.push({ isAdded, part });
    }
    this.removeOldChanges();
    return true;
  }

  /** Takes in that the store did not answer: it may have restarted since. */
  recordFailure(): void {
    this.lastResponseMs = Number.NEGATIVE_INFINITY;
    // What restarts without being noticed has to be left alone as long as what is noticed.
    this.epochSinceMs = Number.POSITIVE_INFINITY;
  }

  /** Takes in that the store answers again under the epoch that it had. */
  recordRecovery(nowMs: number): void {
    if (this.epochSinceMs === Number.POSITIVE_INFINITY) this.epochSinceMs = nowMs;
  }

  /** Whether a part is complete at the store. */
  canRead(salt: string, id: string, nowMs: number): boolean {
    return nowMs - this.lastResponseMs < INDEX_MAX_AGE_MS && this.parts.has(createKey(salt, id));
  }

  /** Whether a part should be sent to the store. */
  shouldSave(salt: string, id: string, nowMs: number): boolean {
    if (nowMs - this.lastResponseMs >= INDEX_MAX_AGE_MS) return false;
    if (nowMs - this.epochSinceMs < NEW_STORE_SAVE_DELAY_MS) return false;
    const key = createKey(salt, id);
    if (this.parts.has(key)) return false;
    const savedMs = this.recentSaves.peek(key);
    return savedMs === undefined || nowMs - savedMs >= SAVE_RETRY_MS;
  }

  recordSave(salt: string, id: string, nowMs: number): void {
    this.recentSaves.set(createKey(salt, id), nowMs);
  }

  removePart(salt: string, id: string): void {
    this.parts.delete(createKey(salt, id));
  }

  listParts(): IterableIterator<StoredPart> {
    return this.parts.values();
  }

  /**
   * Returns what a node that follows this index lacks.
   *
   * @param epoch start of the store that the node knows
   * @param since number of the first change that it lacks
   * @returns undefined while the store doesn't answer
   */
  createUpdate(epoch: number, since: number, nowMs: number): StoreIndexUpdate | undefined {
    const { currentEpoch } = this;
    const ageMs = nowMs - this.lastResponseMs;
    if (currentEpoch === undefined || ageMs >= INDEX_MAX_AGE_MS) return undefined;
    const next = this.firstChangeNumber + this.changes.length;
    const isKnown = epoch === currentEpoch && since >= this.firstChangeNumber && since <= next;
    const events = isKnown
      ? this.changes.slice(since - this.firstChangeNumber)
      : [...this.parts.values()].map((part) => ({ isAdded: true, part }));
    return { epoch: currentEpoch, next, ageMs, events };
  }

  private removeOldChanges(): void {
    const surplus = this.changes.length - MAX_LOGGED_CHANGES;
    if (surplus <= 0) return;
    this.changes = this.changes.slice(surplus);
    this.firstChangeNumber += surplus;
  }

  private removeAll(): void {
    this.firstChangeNumber += this.changes.length;
    this.changes = [];
    for (const key of [...this.parts.keys()]) this.parts.delete(key);
    for (const key of [...this.recentSaves.keys()]) this.recentSaves.delete(key);
  }
}
