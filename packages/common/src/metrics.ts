import { StatsD } from 'hot-shots';
import * as hdr from 'hdr-histogram-js';

/** Largest value of a latency histogram: one hour in milliseconds. */
const HISTOGRAM_MAX_MS = 3_600_000;
/**
 * Maximum number of label sets of each histogram, and of all counters, that are kept in memory.
 * Further label sets of a histogram are recorded under `other`; further counters are only sent to
 * StatsD.
 */
const MAX_LABEL_SETS = 4_096;

export type Labels = Readonly<Record<string, string>>;

export interface HistogramSummary {
  readonly labels: Labels;
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

interface Series {
  readonly labels: Labels;
  readonly histogram: hdr.Histogram;
}

const getSeriesKey = (labels: Labels): string => {
  const pairs = Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1));
  return pairs.map(([name, value]) => `${name}=${value}`).join(',');
};

/**
 * Counters and histograms of one process, sent to StatsD when an address is set and kept in memory
 * for the administration API. Labels are client accounts, classes, services and error types; never
 * prompts, answers or keys.
 */
export class Metrics {
  private readonly histograms = new Map<string, Map<string, Series>>();

  private readonly counters = new Map<string, number>();

  private constructor(private readonly statsd: StatsD | undefined) {}

  /**
   * @param address host and port of the StatsD receiver; without it nothing is sent
   * @example
   * const metrics = Metrics.create({ host: '127.0.0.1', port: 8125 });
   */
  static create(address?: { readonly host: string; readonly port: number }): Metrics {
    return new Metrics(
      address === undefined
        ? undefined
        : new StatsD({
            host: address.host,
            port: address.port,
            prefix: 'lovagearch.',
            // Metrics are best effort; a receiver that is down must not affect requests.
            errorHandler: () => undefined,
          }),
    );
  }

  /** Increments a counter. */
  addCount(name: string, labels: Labels = {}, delta = 1): void {
    const key = `${name}{${getSeriesKey(labels)}}`;
    if (this.counters.has(key) || this.counters.size < MAX_LABEL_SETS) {
      this.counters.set(key, (this.counters.get(key) ?? 0) + delta);
    }
    this.statsd?.increment(name, delta, { ...labels });
  }

  /** Records a duration in milliseconds. */
  recordMs(name: string, durationMs: number, labels: Labels = {}): void {
    this.createRecorder(name, labels)(durationMs);
  }

  /**
   * Returns a function that records durations in milliseconds under fixed labels. It avoids looking
   * up the label set where a value is recorded for every token.
   */
  createRecorder(name: string, labels: Labels = {}): (durationMs: number) => void {
    const { histogram } = this.getSeries(name, labels);
    const tags = { ...labels };
    return (durationMs) => {
      histogram.recordValue(Math.min(Math.max(0, Math.round(durationMs)), HISTOGRAM_MAX_MS));
      this.statsd?.distribution(name, durationMs, tags);
    };
  }

  /** Returns the percentiles of each label set of a histogram, in milliseconds. */
  getSummaries(name: string): HistogramSummary[] {
    const summaries: HistogramSummary[] = [];
    for (const { labels, histogram } of this.histograms.get(name)?.values() ?? []) {
      summaries.push({
        labels,
        count: histogram.totalCount,
        p50Ms: histogram.getValueAtPercentile(50),
        p95Ms: histogram.getValueAtPercentile(95),
        p99Ms: histogram.getValueAtPercentile(99),
        maxMs: histogram.maxValue,
      });
    }
    return summaries;
  }

  /** Returns the names of all histograms. */
  getHistogramNames(): string[] {
    return [...this.histograms.keys()];
  }

  /** Returns all counters, keyed by `name{label=value,...}`. */
  getCounters(): Record<string, number> {
    return Object.fromEntries(this.counters);
  }

  /** Closes the StatsD client. */
  async close(): Promise<void> {
    const { statsd } = this;
    if (statsd === undefined) return;
    await new Promise<void>((resolve) => {
      statsd.close(() => resolve());
    });
  }

  private getSeries(name: string, labels: Labels): Series {
    const byKey = this.histograms.get(name) ?? new Map<string, Series>();
    this.histograms.set(name, byKey);
    const isFull = byKey.size >= MAX_LABEL_SETS;
    const wantedKey = getSeriesKey(labels);
    const key = isFull && !byKey.has(wantedKey) ? 'other' : wantedKey;
    const existing = byKey.get(key);
    if (existing !== undefined) return existing;
    const created: Series = {
      labels: key === 'other' ? {} : labels,
      histogram: hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HISTOGRAM_MAX_MS,
        numberOfSignificantValueDigits: 2,
        // Preallocated buckets for each account and class would use most of a node's 64 MB of memory.
        autoResize: true,
        bitBucketSize: 32,
      }),
    };
    byKey.set(key, created);
    return created;
  }
}
