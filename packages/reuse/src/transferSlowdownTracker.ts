import { BoundedMap } from '@lovagearch/common';

/** Weight of the newest transfer. */
const EWMA_WEIGHT = 0.3;
/** Time constant in which a slow source is given another chance, in milliseconds. */
const DECAY_TIME_CONSTANT_MS = 4_000;
/** Largest factor, so that one lost answer doesn't close a source for long. */
const MAX_SLOWDOWN_FACTOR = 30;
/** Time of a transfer below which a measurement says nothing, in milliseconds. */
const MIN_EXPECTED_MS = 5;
/** Sources whose speed is remembered. */
const MAX_SOURCES = 256;

interface SlowdownEstimate {
  readonly factor: number;
  readonly atMs: number;
}

/**
 * How much longer transfers from each source take than their links promise. It answers the pattern of a
 * link that turns slow: reading a prompt is then faster than moving it.
 */
export class TransferSlowdownTracker {
  private readonly estimates = BoundedMap.create<string, SlowdownEstimate>(MAX_SOURCES);

  static create(): TransferSlowdownTracker {
    return new TransferSlowdownTracker();
  }

  /** Returns the factor on the promised time; 1 for a source of which nothing is known. */
  getSlowdownFactor(source: string, nowMs: number): number {
    const measured = this.estimates.peek(source);
    if (measured === undefined) return 1;
    return 1 + (measured.factor - 1) * Math.exp(-(nowMs - measured.atMs) / DECAY_TIME_CONSTANT_MS);
  }

  /**
   * Records a transfer.
   *
   * @param promisedMs time by the links alone
   * @param measuredMs time that it took
   */
  recordTransfer(source: string, promisedMs: number, measuredMs: number, nowMs: number): void {
    if (promisedMs < MIN_EXPECTED_MS) return;
    const newest = Math.min(MAX_SLOWDOWN_FACTOR, Math.max(1, measuredMs / promisedMs));
    const known = this.getSlowdownFactor(source, nowMs);
    this.estimates.set(source, { factor: known + (newest - known) * EWMA_WEIGHT, atMs: nowMs });
  }
}
