import { BoundedMap } from '@lovagearch/common';

/** Complete parts that are indexed for one store VM. */
const MAX_INDEXED_PARTS = 20_000;
/**
 * Maximum age of a store's last response at which its parts are still read, in milliseconds. It is
 * shorter than NEW_STORE_SAVE_DELAY_MS, so that no node reads a part that it knew before a restart
 * of the store while another node writes it again.
 */
export const INDEX_MAX_AGE_MS = 2_200;
/**
 * Time that a store has to respond under one epoch before parts are saved there, in milliseconds.
 */
export const NEW_STORE_SAVE_DELAY_MS = 3_000;
/** Time after which a saved part that its store has not reported is sent again, in milliseconds. */
export const SAVE_RETRY_MS = 5_000;
/** Changes kept for nodes that follow the index. */
const MAX_LOGGED_CHANGES = 2_000;
/** Recently saved parts that are tracked. */
const MAX_RECENT_SAVES = 4_096;

/** Ids of indexes are drawn from this range. */
const MAX_LOG_ID = 2 ** 32;

/** A part that a store VM holds completely. */
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

/** How far a node knows the index of another one. */
export interface StoreIndexCursor {
  /** Epoch of the store; 0 if none is known. */
  readonly epoch: number;
  /** Identifies the index whose changes `since` counts. */
  readonly log: number;
  /** Number of the first change that the node lacks. */
  readonly since: number;
}

/** Index changes that a node watching a store sends to a node that does not watch it. */
export interface StoreIndexUpdate {
  readonly epoch: number;
  readonly log: number;
  /** False if the events are all parts of the index, true if they are its changes. */
  readonly isPartial: boolean;
  /** Whether the index names all parts of the store, so that it holds no others. */
  readonly isComplete: boolean;
  /** Number of the first change after this update, to be passed in the next call. */
  readonly next: number;
  /** Age of the store's last response, in milliseconds. */
  readonly ageMs: number;
  readonly events: readonly StorePartEvent[];
}

/** Which events of the current epoch an index has; a store keeps only its newest ones. */
type IndexCoverage = 'unread' | 'with_gaps' | 'complete';

const createKey = (salt: string, id: string) => `${salt}/${id}`;

/**
 * Index of the parts that one store VM holds completely, built from its events. Events may be late
 * or lost: the store may hold parts that are not in the index, but a part in the index was complete
 * during the current epoch of the store.
 *
 * @example
 * const index = StoreIndex.create();
 * index.applyResponse(epoch, events, clock.nowMs());
 * if (index.canRead('v1', '5c1e07a2', clock.nowMs())) readFromStore();
 */
export class StoreIndex {
  private readonly parts = BoundedMap.create<string, StoredPart>(MAX_INDEXED_PARTS);

  /** Recent changes, for nodes that follow this index instead of the store. */
  private changes: StorePartEvent[] = [];

  /** Sequence number of the first change in `changes`. */
  private firstChangeNumber = 0;

  private readonly recentSaves = BoundedMap.create<string, number>(MAX_RECENT_SAVES);

  private currentEpoch: number | undefined;

  private epochSinceMs = Number.POSITIVE_INFINITY;

  private lastResponseMs = Number.NEGATIVE_INFINITY;

  private coverage: IndexCoverage = 'unread';

  private constructor(private readonly log: number) {}

  /** @param log differs between the indexes of one node before and after its restart */
  static create(log = Math.floor(Math.random() * MAX_LOG_ID)): StoreIndex {
    return new StoreIndex(log);
  }

  /** Identifies the start of the store for which the index is valid. */
  get epoch(): number | undefined {
    return this.currentEpoch;
  }

  get size(): number {
    return this.parts.size;
  }

  /**
   * Applies a response of the store.
   *
   * @param hasGap whether events before those of the response are missing
   * @returns false if the store has restarted; its events have to be read from the beginning then
   */
  applyResponse(
    epoch: number,
    events: readonly StorePartEvent[],
    nowMs: number,
    hasGap = false,
  ): boolean {
    this.lastResponseMs = nowMs;
    if (epoch !== this.currentEpoch) {
      this.removeAll();
      this.currentEpoch = epoch;
      this.epochSinceMs = nowMs;
      return false;
    }
    if (hasGap) this.coverage = 'with_gaps';
    else if (this.coverage === 'unread') this.coverage = 'complete';
    for (const { isAdded, part } of events) {
      const key = createKey(part.salt, part.id);
      if (isAdded) this.parts.set(key, part);
      else this.parts.delete(key);
      this.changes.push({ isAdded, part });
    }
    this.removeOldChanges();
    return true;
  }

  /** Applies an update from the index of another node. */
  applyUpdate({ epoch, isPartial, isComplete, events }: StoreIndexUpdate, nowMs: number): void {
    if (epoch !== this.currentEpoch) this.applyResponse(epoch, [], nowMs);
    // The store may hold further parts than an incomplete index names.
    if (!isPartial && isComplete) this.removeOtherParts(events);
    const wasComplete = this.coverage === 'complete';
    this.applyResponse(epoch, events, nowMs);
    this.coverage = isComplete && (wasComplete || !isPartial) ? 'complete' : 'with_gaps';
  }

  /** Records that the store did not respond; it may have restarted. */
  recordFailure(): void {
    this.lastResponseMs = Number.NEGATIVE_INFINITY;
    // An unnoticed restart requires the same save delay as one that was noticed.
    this.epochSinceMs = Number.POSITIVE_INFINITY;
  }

  /** Records that the store responds again; the save delay starts now if a failure had reset it. */
  recordRecovery(nowMs: number): void {
    if (this.epochSinceMs === Number.POSITIVE_INFINITY) this.epochSinceMs = nowMs;
  }

  /** Whether a part is known to be complete at the store. */
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
   * Creates an update with the changes that a following node is missing, or with all parts if it
   * knows another epoch, counted the changes of another index or is too far behind. Without all parts of the store, an
   * index also names the removals that it knows of.
   *
   * @returns undefined while the store does not respond
   */
  createUpdate(
    { epoch, log, since }: StoreIndexCursor,
    nowMs: number,
  ): StoreIndexUpdate | undefined {
    const { currentEpoch } = this;
    const ageMs = nowMs - this.lastResponseMs;
    if (currentEpoch === undefined || ageMs >= INDEX_MAX_AGE_MS) return undefined;
    const next = this.firstChangeNumber + this.changes.length;
    const isPartial =
      epoch === currentEpoch &&
      log === this.log &&
      since >= this.firstChangeNumber &&
      since <= next;
    const isComplete = this.coverage === 'complete';
    const events = isPartial
      ? this.changes.slice(since - this.firstChangeNumber)
      : [
          ...(isComplete ? [] : this.listRemovals()),
          ...[...this.parts.values()].map((part) => ({ isAdded: true, part })),
        ];
    return { epoch: currentEpoch, log: this.log, isPartial, isComplete, next, ageMs, events };
  }

  private listRemovals(): StorePartEvent[] {
    return this.changes.filter(
      ({ isAdded, part }) => !isAdded && !this.parts.has(createKey(part.salt, part.id)),
    );
  }

  private removeOtherParts(events: readonly StorePartEvent[]): void {
    const kept = new Set(events.map(({ part }) => createKey(part.salt, part.id)));
    for (const [key, part] of [...this.parts]) {
      if (kept.has(key)) continue;
      this.parts.delete(key);
      this.changes.push({ isAdded: false, part });
    }
  }

  private removeOldChanges(): void {
    const surplus = this.changes.length - MAX_LOGGED_CHANGES;
    if (surplus <= 0) return;
    this.changes = this.changes.slice(surplus);
    this.firstChangeNumber += surplus;
  }

  private removeAll(): void {
    this.coverage = 'unread';
    this.firstChangeNumber += this.changes.length;
    this.changes = [];
    for (const key of [...this.parts.keys()]) this.parts.delete(key);
    for (const key of [...this.recentSaves.keys()]) this.recentSaves.delete(key);
  }
}
