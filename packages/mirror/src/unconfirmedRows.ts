import type { MirroredRow } from './types.js';

/** Rows of a copy whose newest state a restore of the store has lost, until they are written again. */
export class UnconfirmedRows {
  /** Rows that the store lacks. */
  private readonly lostKeys = new Set<string>();

  /** Rows of which the store has an older state. */
  private readonly outdatedKeys = new Set<string>();

  /** Rows of the store that were taken for older ones although they may have been written since its restore. */
  private uncertainRows: readonly MirroredRow[] = [];

  private endMs = Number.POSITIVE_INFINITY;

  private constructor(private readonly graceMs: number) {}

  /** @param graceMs time after a restore after which the store decides, in milliseconds */
  static create(graceMs: number): UnconfirmedRows {
    return new UnconfirmedRows(graceMs);
  }

  get lostCount(): number {
    return this.lostKeys.size;
  }

  get outdatedCount(): number {
    return this.outdatedKeys.size;
  }

  /** Whether a peer may know more about what the store has lost. */
  get isUncertain(): boolean {
    return this.uncertainRows.length > 0;
  }

  has(key: string): boolean {
    return this.lostKeys.has(key) || this.outdatedKeys.has(key);
  }

  hasLost(key: string): boolean {
    return this.lostKeys.has(key);
  }

  listLostKeys(): string[] {
    return [...this.lostKeys];
  }

  /** Begins anew after a restore of the store. */
  startEra(uncertainRows: readonly MirroredRow[], nowMs: number): void {
    this.lostKeys.clear();
    this.outdatedKeys.clear();
    this.uncertainRows = uncertainRows;
    this.endMs = nowMs + this.graceMs;
  }

  addLost(key: string): void {
    this.lostKeys.add(key);
  }

  addOutdated(key: string): void {
    this.outdatedKeys.add(key);
  }

  /** Records that a row was written since the restore. */
  recordWritten(key: string): void {
    this.lostKeys.delete(key);
    this.outdatedKeys.delete(key);
  }

  /** Records that a peer has told what it knows. */
  recordPeerCopy(): void {
    this.uncertainRows = [];
  }

  /**
   * Ends the time in which the copy's state counts, once the store has been followed for longer.
   *
   * @param completeAsOfMs clock reading at which the copy was last known to be complete
   * @returns the rows that the store lacks, and those whose state in the store counts from now on
   */
  tryEnd(
    completeAsOfMs: number,
  ): { readonly lostKeys: string[]; readonly uncertainRows: MirroredRow[] } | undefined {
    if (completeAsOfMs < this.endMs) return undefined;
    if (this.lostKeys.size === 0 && this.uncertainRows.length === 0) return undefined;
    const lostKeys = this.listLostKeys();
    const uncertainRows = this.uncertainRows.filter(({ key }) => this.outdatedKeys.has(key));
    this.lostKeys.clear();
    this.uncertainRows = [];
    return { lostKeys, uncertainRows };
  }
}
