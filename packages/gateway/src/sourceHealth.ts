import { SOURCE_EXCLUSION_MS, SOURCE_FAILURE_PERIOD_MS } from './constants.js';

/** State of one source that does not respond. */
interface SourceFailure {
  readonly sinceMs: number;
  readonly excludedUntilMs: number;
}

/**
 * Remembers which sources of table copies do not respond. A source that fails for some time is excluded for a
 * while, so that the duty of a node that is gone passes on; the shared table names nodes that left, too.
 *
 * @example
 * health.recordFailure('edge-1', clock.nowMs());
 * if (health.isExcluded('edge-1', clock.nowMs())) chooseAnotherSource();
 */
export class SourceHealth {
  private readonly failures = new Map<string, SourceFailure>();

  static create(): SourceHealth {
    return new SourceHealth();
  }

  /** Records that a source did not respond. */
  recordFailure(name: string, nowMs: number): void {
    const known = this.failures.get(name);
    const sinceMs = known === undefined || this.isOver(known, nowMs) ? nowMs : known.sinceMs;
    const isGone = nowMs - sinceMs >= SOURCE_FAILURE_PERIOD_MS;
    const excludedUntilMs = isGone ? nowMs + SOURCE_EXCLUSION_MS : Number.NEGATIVE_INFINITY;
    this.failures.set(name, { sinceMs, excludedUntilMs });
  }

  recordSuccess(name: string): void {
    this.failures.delete(name);
  }

  isExcluded(name: string, nowMs: number): boolean {
    const failure = this.failures.get(name);
    return failure !== undefined && nowMs < failure.excludedUntilMs;
  }

  /** Whether an exclusion has ended, after which the source is tried like one that never failed. */
  private isOver({ excludedUntilMs }: SourceFailure, nowMs: number): boolean {
    return Number.isFinite(excludedUntilMs) && nowMs >= excludedUntilMs;
  }
}
