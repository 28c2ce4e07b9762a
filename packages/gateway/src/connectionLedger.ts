import { CONNECTION_BYTES, GUARANTEED_CONNECTIONS } from './constants.js';

/**
 * What a connection is doing. `idle`: nothing was sent; `incomplete`: a head or a body isn't complete; `unread`: a
 * response is ready and not read; `waiting`: a request isn't begun; `working`: a request is being served.
 */
export type ConnectionUse = 'idle' | 'incomplete' | 'unread' | 'waiting' | 'working';

/** One connection as the ledger sees it. */
export interface LedgerEntry {
  readonly listener: string;
  readonly address: string;
  /** Estimated memory beside that of the connection itself, in bytes. */
  heldBytes: number;
  /** Clock reading of the last progress: bytes of a head or a body, or of a response that was read. */
  progressAtMs: number;
  readonly getUse: () => ConnectionUse;
}

/** Order in which connections are dropped; those that are being served come last. */
const DROP_RANK: Readonly<Record<ConnectionUse, number>> = {
  idle: 0,
  unread: 1,
  incomplete: 2,
  waiting: 3,
  working: 4,
};

/** Compares by use, then by what the address holds, then by size or by the time since the last progress. */
const isBefore = (
  entry: LedgerEntry,
  other: LedgerEntry,
  addressBytes: ReadonlyMap<string, number>,
  isBySize: boolean,
): boolean => {
  const ranks = DROP_RANK[entry.getUse()] - DROP_RANK[other.getUse()];
  if (ranks !== 0) return ranks < 0;
  const difference =
    (addressBytes.get(entry.address) ?? 0) - (addressBytes.get(other.address) ?? 0);
  if (difference !== 0) return difference > 0;
  if (isBySize && entry.heldBytes !== other.heldBytes) return entry.heldBytes > other.heldBytes;
  return entry.progressAtMs < other.progressAtMs;
};

export interface LedgerLimits {
  readonly maxConnections: number;
  readonly memoryBytes: number;
}

/**
 * What the connections of all listeners hold, and which of them give way when the limits are reached.
 *
 * @example
 * const ledger = ConnectionLedger.create({ maxConnections: 500, memoryBytes: 20_000_000 });
 * const victim = ledger.hasConnection ? undefined : ledger.chooseDisplaced('callers');
 * ledger.add(entry);
 */
export class ConnectionLedger<Entry extends LedgerEntry> {
  private readonly entries = new Set<Entry>();

  private readonly connectionsByListener = new Map<string, number>();

  private totalBytes = 0;

  private constructor(private readonly limits: LedgerLimits) {}

  static create<Entry extends LedgerEntry>(limits: LedgerLimits): ConnectionLedger<Entry> {
    return new ConnectionLedger<Entry>(limits);
  }

  get connections(): ReadonlySet<Entry> {
    return this.entries;
  }

  /** Estimated memory of all connections, in bytes. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  get hasConnection(): boolean {
    return this.entries.size < this.limits.maxConnections;
  }

  get isOverMemory(): boolean {
    return this.totalBytes > this.limits.memoryBytes;
  }

  hasMemory(bytes: number): boolean {
    return this.totalBytes + bytes <= this.limits.memoryBytes;
  }

  add(entry: Entry): void {
    this.entries.add(entry);
    const { listener } = entry;
    this.connectionsByListener.set(listener, this.countConnections(listener) + 1);
    this.totalBytes += CONNECTION_BYTES + entry.heldBytes;
  }

  remove(entry: Entry): void {
    if (!this.entries.delete(entry)) return;
    this.connectionsByListener.set(entry.listener, this.countConnections(entry.listener) - 1);
    this.totalBytes -= CONNECTION_BYTES + entry.heldBytes;
  }

  setHeldBytes(entry: Entry, heldBytes: number): void {
    if (heldBytes === entry.heldBytes) return;
    if (this.entries.has(entry)) this.totalBytes += heldBytes - entry.heldBytes;
    // eslint-disable-next-line no-param-reassign -- the ledger keeps the sum of this field
    entry.heldBytes = heldBytes;
  }

  /**
   * Returns the connection that gives way to a new one, or undefined if the new one has to be refused. Each listener
   * keeps a few connections whatever happens on others.
   */
  chooseDisplaced(newListener: string): Entry | undefined {
    const isNewGuaranteed = this.countConnections(newListener) < GUARANTEED_CONNECTIONS;
    return this.chooseFirst(
      (entry) =>
        (entry.getUse() !== 'working' || isNewGuaranteed) &&
        (entry.listener === newListener ||
          this.countConnections(entry.listener) > GUARANTEED_CONNECTIONS),
      false,
    );
  }

  /** Returns the connection whose memory is freed first, or undefined if all that hold some are being served. */
  chooseFreed(except: Entry | undefined, includesWaiting: boolean): Entry | undefined {
    return this.chooseFirst((entry) => {
      if (entry === except || entry.heldBytes === 0) return false;
      const use = entry.getUse();
      return use !== 'working' && (includesWaiting || use !== 'waiting');
    }, true);
  }

  private countConnections(listener: string): number {
    return this.connectionsByListener.get(listener) ?? 0;
  }

  private sumBytesByAddress(): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const { address, heldBytes } of this.entries)
      sums.set(address, (sums.get(address) ?? 0) + CONNECTION_BYTES + heldBytes);
    return sums;
  }

  private chooseFirst(isEligible: (entry: Entry) => boolean, isBySize: boolean): Entry | undefined {
    const addressBytes = this.sumBytesByAddress();
    let first: Entry | undefined;
    for (const entry of this.entries) {
      if (!isEligible(entry)) continue;
      if (first === undefined || isBefore(entry, first, addressBytes, isBySize)) first = entry;
    }
    return first;
  }
}
