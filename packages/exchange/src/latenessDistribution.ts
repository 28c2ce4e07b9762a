/** Lower bound of the second bucket, as a multiple of the forecast; faster responses share the first bucket. */
const MIN_RATIO = 0.25;
/** Buckets per doubling; a quantile is exact to 19%, which is finer than forecasts are. */
const BUCKETS_PER_DOUBLING = 4;
/** Number of buckets: 10 doublings, up to 256 times the forecast. */
const BUCKET_COUNT = 10 * BUCKETS_PER_DOUBLING;
/**
 * Time in which the weight of a sample halves, in milliseconds. A node sends each route about one request a second,
 * so that a 95th percentile rests on some 170 samples.
 */
const HALF_LIFE_MS = 120_000;
/** Samples that have to lie beyond a quantile before it counts; a single one may be an accident. */
const MIN_SAMPLES_BEYOND = 2;

/**
 * Distribution of response times relative to their forecasts, with decay. It takes a fixed number of buckets,
 * whatever the number of samples.
 *
 * @example
 * distribution.recordSample(firstEventMs / expectedMs, clock.nowMs());
 * const ratio = distribution.getQuantile(0.95, clock.nowMs());
 */
export class LatenessDistribution {
  private readonly weights = new Float64Array(BUCKET_COUNT);

  private totalWeight = 0;

  private decayedAtMs = Number.NEGATIVE_INFINITY;

  static create(): LatenessDistribution {
    return new LatenessDistribution();
  }

  /** @param ratio response time as a multiple of its forecast */
  recordSample(ratio: number, nowMs: number): void {
    this.decay(nowMs);
    const bucket = Math.ceil(Math.log2(ratio / MIN_RATIO) * BUCKETS_PER_DOUBLING);
    const index = Math.min(BUCKET_COUNT - 1, Math.max(0, bucket));
    this.weights[index] = (this.weights[index] ?? 0) + 1;
    this.totalWeight += 1;
  }

  /**
   * Returns the multiple of the forecast within which a share of the responses ends, rounded up to the end of its
   * bucket; undefined if there are too few samples for it.
   *
   * @param quantile share from 0 (included) to 1 (excluded)
   */
  getQuantile(quantile: number, nowMs: number): number | undefined {
    this.decay(nowMs);
    const maxBeyond = this.totalWeight * (1 - quantile);
    if (maxBeyond < MIN_SAMPLES_BEYOND) return undefined;
    let beyond = 0;
    for (let index = BUCKET_COUNT - 1; index >= 0; index -= 1) {
      beyond += this.weights[index] ?? 0;
      if (beyond > maxBeyond) return MIN_RATIO * 2 ** (index / BUCKETS_PER_DOUBLING);
    }
    return undefined;
  }

  private decay(nowMs: number): void {
    const factor = 2 ** (-Math.max(0, nowMs - this.decayedAtMs) / HALF_LIFE_MS);
    this.decayedAtMs = nowMs;
    for (let index = 0; index < BUCKET_COUNT; index += 1)
      this.weights[index] = (this.weights[index] ?? 0) * factor;
    this.totalWeight *= factor;
  }
}
