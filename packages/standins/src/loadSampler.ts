import type { Clock } from '@lovagearch/common';

export interface LoadValues {
  readonly queuedPromptTokens: number;
  readonly activeSequences: number;
  readonly cacheUse: number;
}

/** Reports the load as it was some time ago, with the age of the sample. */
export class LoadSampler {
  private older: { readonly values: LoadValues; readonly atMs: number };

  private newer: { readonly values: LoadValues; readonly atMs: number };

  private constructor(
    private readonly getValues: () => LoadValues,
    private readonly lagMs: number,
    private readonly clock: Clock,
  ) {
    this.newer = { values: getValues(), atMs: clock.nowMs() };
    this.older = this.newer;
    // The timer ends with the process and doesn't keep it alive.
    if (lagMs > 0) setInterval(() => this.takeSample(), lagMs).unref();
  }

  static create(getValues: () => LoadValues, lagMs: number, clock: Clock): LoadSampler {
    return new LoadSampler(getValues, lagMs, clock);
  }

  /** Returns the present load, as answers carry it. */
  getCurrent(): LoadValues & { readonly ageMs: number } {
    return { ...this.getValues(), ageMs: 0 };
  }

  /** Returns the load of an earlier sample, as the status carries it. */
  getDelayed(): LoadValues & { readonly ageMs: number } {
    if (this.lagMs === 0) return this.getCurrent();
    return { ...this.older.values, ageMs: this.clock.nowMs() - this.older.atMs };
  }

  private takeSample(): void {
    this.older = this.newer;
    this.newer = { values: this.getValues(), atMs: this.clock.nowMs() };
  }
}
