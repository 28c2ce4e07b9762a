import { BoundedMap } from '@lovagearch/common';

/** Weight of the newest transfer in the moving average. */
const EWMA_WEIGHT = 0.3;
/**
 * Time constant with which a slowdown decays, so that a slow source is retried, in milliseconds.
 */
const DECAY_TIME_CONSTANT_MS = 4_000;
/** Upper bound of a factor, so that one lost response does not exclude a source for long. */
const MAX_SLOWDOWN_FACTOR = 30;
/** Expected time below which a transfer is too short to be a useful sample, in milliseconds. */
const MIN_EXPECTED_MS = 5;
/** Sources whose slowdown is tracked. */
const MAX_SOURCES = 256;

interface SlowdownEstimate {
  readonly factor: number;
  readonly atMs: number;
}

/** Returns the factor of an estimate, which approaches another one as it becomes older. */
const decay = ({ factor, atMs }: SlowdownEstimate, towards: number, nowMs: number): number =>
  towards + (factor - towards) * Math.exp(-(nowMs - atMs) / DECAY_TIME_CONSTANT_MS);

/**
 * Tracks how much longer transfers from each source take than expected from the bandwidth of their
 * links. When a link becomes slow, recomputing a prompt is faster than transferring it.
 *
 * In a large deployment a node transfers too rarely from each source to notice that all of them are congested, so
 * a source of which nothing recent is known counts as slow as the sources are together.
 */
export class TransferSlowdownTracker {
  private readonly estimates = BoundedMap.create<string, SlowdownEstimate>(MAX_SOURCES);

  /** Estimate for all sources together. */
  private overall: SlowdownEstimate = { factor: 1, atMs: Number.NEGATIVE_INFINITY };

  static create(): TransferSlowdownTracker {
    return new TransferSlowdownTracker();
  }

  /** Returns the factor by which the expected time is exceeded; 1 before the first transfer. */
  getSlowdownFactor(source: string, nowMs: number): number {
    const overallFactor = decay(this.overall, 1, nowMs);
    const estimate = this.estimates.peek(source);
    return estimate === undefined ? overallFactor : decay(estimate, overallFactor, nowMs);
  }

  /**
   * Records the duration of a transfer.
   *
   * @param expectedMs time computed from the bandwidth of the links
   * @param measuredMs time that the transfer took
   */
  recordTransfer(source: string, expectedMs: number, measuredMs: number, nowMs: number): void {
    if (expectedMs < MIN_EXPECTED_MS) return;
    const newest = Math.min(MAX_SLOWDOWN_FACTOR, Math.max(1, measuredMs / expectedMs));
    const update = (known: number): SlowdownEstimate => ({
      factor: known + (newest - known) * EWMA_WEIGHT,
      atMs: nowMs,
    });
    this.estimates.set(source, update(this.getSlowdownFactor(source, nowMs)));
    this.overall = update(decay(this.overall, 1, nowMs));
  }
}
