import { BoundedMap } from '@lovagearch/common';
import { UNREPORTED_WORK_MAX_AGE_MS } from './constants.js';

/** Maximum number of tracked runners; the design target is 3,500. */
const MAX_RUNNERS = 8_192;
/** Maximum number of tracked requests per runner. */
const MAX_REQUESTS_PER_RUNNER = 64;

interface SentWork {
  readonly tokens: number;
  readonly sentAtMs: number;
}

/**
 * Tracks the work that this node sent to runners and that their delayed load reports don't include yet.
 *
 * @example
 * const tracker = UnreportedLoadTracker.create();
 * tracker.recordSent('runner-1', 2_000, clock.nowMs());
 * tracker.getUnreportedTokens('runner-1', reportAgeMs, clock.nowMs()); // 2000 until a newer report
 */
export class UnreportedLoadTracker {
  private constructor(private readonly sentByRunner: BoundedMap<string, readonly SentWork[]>) {}

  static create(): UnreportedLoadTracker {
    return new UnreportedLoadTracker(BoundedMap.create(MAX_RUNNERS));
  }

  /** Records the prompt tokens of a request that a runner has to compute. */
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
