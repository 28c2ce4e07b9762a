import { BoundedMap } from '@lovagearch/common';
import { UNREPORTED_WORK_MAX_AGE_MS } from './constants.js';

/** Runners tracked by one node; above the 3,500 of the size to design for. */
const MAX_RUNNERS = 8_192;
/** Requests of this node that are tracked for one runner. */
const MAX_REQUESTS_PER_RUNNER = 64;

interface SentWork {
  readonly tokens: number;
  readonly sentAtMs: number;
}

/**
 * Work that this node sent to runners and that their lagging load reports can't contain yet.
 *
 * @example
 * const estimator = LoadEstimator.create();
 * estimator.recordSent('runner-1', 2_000, clock.nowMs());
 * estimator.getUnreportedTokens('runner-1', reportAgeMs, clock.nowMs()); // 2000 until a newer report
 */
export class UnreportedLoadTracker {
  private constructor(private readonly sentByRunner: BoundedMap<string, readonly SentWork[]>) {}

  static create(): UnreportedLoadTracker {
    return new UnreportedLoadTracker(BoundedMap.create(MAX_RUNNERS));
  }

  /** Records prompt tokens that a runner has to compute. */
  recordSent(runner: string, tokens: number, nowMs: number): void {
    const known = this.sentByRunner.peek(runner) ?? [];
    const recent = known.filter(({ sentAtMs }) => nowMs - sentAtMs < UNREPORTED_WORK_MAX_AGE_MS);
    const kept = [...recent, { tokens, sentAtMs: nowMs }].slice(-MAX_REQUESTS_PER_RUNNER);
    this.sentByRunner.set(runner, kept);
  }

  /**
   * Returns the tokens sent after the runner's last load sample was taken.
   *
   * @param sampleAgeMs age of that sample in milliseconds
   */
  getUnreportedTokens(runner: string, sampleAgeMs: number, nowMs: number): number {
    let unreported = 0;
    for (const { tokens } of this.listUnreportedWork(runner, sampleAgeMs, nowMs))
      unreported += tokens;
    return unreported;
  }

  /** Returns the number of requests sent after the runner's last load sample was taken. */
  getUnreportedSequences(runner: string, sampleAgeMs: number, nowMs: number): number {
    return this.listUnreportedWork(runner, sampleAgeMs, nowMs).length;
  }

  private listUnreportedWork(runner: string, sampleAgeMs: number, nowMs: number): SentWork[] {
    const horizonMs = nowMs - Math.min(sampleAgeMs, UNREPORTED_WORK_MAX_AGE_MS);
    return (this.sentByRunner.peek(runner) ?? []).filter(({ sentAtMs }) => sentAtMs > horizonMs);
  }
}
