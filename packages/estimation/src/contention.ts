import {
  CONTENTION_DECAY_MS,
  MAX_WORK_PERCENT,
  MIN_WORK_PERCENT,
  USUAL_CONTENTION_WEIGHT,
} from './constants.js';

/**
 * How much longer work takes at one endpoint than its usual duration, from the figures that the endpoint reports: 1 is
 * as usual. The figure changes faster than reports arrive, so that an old one says little about now: it fades towards
 * the average of the endpoint's figures.
 *
 * @example
 * contention.record(180, clock.nowMs());
 * const workMs = usualMs * contention.estimateOver(usualMs, clock.nowMs());
 */
export class Contention {
  private usual = 1;

  private current = 1;

  private samples = 0;

  private atMs = Number.NEGATIVE_INFINITY;

  static create(): Contention {
    return new Contention();
  }

  /** Whether the endpoint reports its contention. */
  get isReported(): boolean {
    return this.samples > 0;
  }

  /** Average of the reported figures; 1 without any. */
  get usualFactor(): number {
    return this.usual;
  }

  /** Records a reported duration of work in percent of the usual one; a figure that no load explains is bounded. */
  record(workPercent: number, atMs: number): void {
    if (Number.isNaN(workPercent)) return;
    const factor = Math.min(MAX_WORK_PERCENT, Math.max(MIN_WORK_PERCENT, workPercent)) / 100;
    this.samples += 1;
    // The assumed 100 percent counts like one figure.
    const weight = Math.max(USUAL_CONTENTION_WEIGHT, 1 / (this.samples + 1));
    this.usual += (factor - this.usual) * weight;
    if (atMs < this.atMs) return;
    this.current = factor;
    this.atMs = atMs;
  }

  /**
   * Estimates the mean factor over work that starts after a delay.
   *
   * @param workMs duration of the work without contention
   * @param startDelayMs time until the work starts, such as a wait in a queue
   */
  estimateOver(workMs: number, nowMs: number, startDelayMs = 0): number {
    if (this.samples === 0) return 1;
    const ageMs = Math.max(0, nowMs - this.atMs) + startDelayMs;
    const spans = Math.max(workMs, 1) / CONTENTION_DECAY_MS;
    const keptShare = Math.exp(-ageMs / CONTENTION_DECAY_MS) * ((1 - Math.exp(-spans)) / spans);
    return this.usual + (this.current - this.usual) * keptShare;
  }
}
