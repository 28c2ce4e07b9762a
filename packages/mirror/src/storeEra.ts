import type { Clock } from '@lovagearch/common';

/** Lag of a new era's clock behind the estimate from which it counts as set back, in milliseconds. */
const CLOCK_TOLERANCE_MS = 250;

/** Called when a later era becomes known. */
type EraListener = (era: number, previousEra: number) => void;

/**
 * The era of the store: it rises each time the store is restored from a copy. What was written since that copy is
 * lost, and row versions and readings of the store's clock of different eras can't be compared.
 *
 * @example
 * const storeEra = StoreEra.create(processClock);
 * storeEra.addListener((era) => log.logStateChange('store_restored', { era }));
 * const storeMs = storeEra.recordResponse(2, response.nowMs);
 */
export class StoreEra {
  private currentEra = 0;

  private currentSinceMs: number;

  /** Added to readings of the present era, so that they go on from those of the era before. */
  private shiftMs = 0;

  private lastReading:
    { readonly storeMs: number; readonly atMs: number; readonly era: number } | undefined;

  private readonly listeners: EraListener[] = [];

  private constructor(private readonly clock: Clock) {
    this.currentSinceMs = clock.nowMs();
  }

  /** @param clock monotonic clock of this process */
  static create(clock: Clock): StoreEra {
    return new StoreEra(clock);
  }

  /** The latest era that is known; 0 while none is, or if the store names none. */
  get current(): number {
    return this.currentEra;
  }

  /** Clock reading at which this process learned of the present era. */
  get sinceMs(): number {
    return this.currentSinceMs;
  }

  addListener(listener: EraListener): void {
    this.listeners.push(listener);
  }

  /** Records an era that a response of the store or a peer named; an earlier one changes nothing. */
  recordEra(era: number): void {
    const previousEra = this.currentEra;
    if (era <= previousEra) return;
    this.currentEra = era;
    this.currentSinceMs = this.clock.nowMs();
    for (const listener of this.listeners) listener(era, previousEra);
  }

  /**
   * Records a response of the store.
   *
   * @param storeMs reading of the store's clock in the response, in milliseconds
   * @returns the reading on a clock that isn't set back by a restore; undefined without one of the present era
   */
  recordResponse(era: number | undefined, storeMs: number | undefined): number | undefined {
    if (era !== undefined) this.recordEra(era);
    const { currentEra } = this;
    if (storeMs === undefined || (era !== undefined && era < currentEra)) return undefined;
    const nowMs = this.clock.nowMs();
    this.adjustShift(storeMs, nowMs);
    const shiftedMs = storeMs + this.shiftMs;
    this.lastReading = { storeMs: shiftedMs, atMs: nowMs, era: currentEra };
    return shiftedMs;
  }

  private adjustShift(storeMs: number, nowMs: number): void {
    const { currentEra, lastReading } = this;
    if (lastReading === undefined || lastReading.era === currentEra) return;
    const expectedMs = lastReading.storeMs + nowMs - lastReading.atMs;
    const lagMs = expectedMs - (storeMs + this.shiftMs);
    if (lagMs > CLOCK_TOLERANCE_MS) this.shiftMs += lagMs;
  }
}
