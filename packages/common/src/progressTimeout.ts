export interface ProgressTimeoutOptions {
  /** Time to the first progress, in milliseconds. */
  readonly firstMs: number;
  /** Time from one progress to the next, in milliseconds. */
  readonly gapMs: number;
  /** Time to the end, however often there is progress, in milliseconds. */
  readonly totalMs: number;
}

/**
 * Aborts a transfer that makes no progress. A limit on the whole transfer would give up a large one over a slow
 * link again and again, and each further try would make the link slower for all others.
 *
 * @example
 * const timeout = ProgressTimeout.create({ firstMs: 900, gapMs: 900, totalMs: 10_000 });
 * const response = await fetch(url, { signal: timeout.signal });
 * for await (const chunk of response.body) timeout.recordProgress();
 * timeout.end();
 */
export class ProgressTimeout {
  private readonly controller = new AbortController();

  private stepTimer: NodeJS.Timeout;

  private readonly totalTimer: NodeJS.Timeout;

  private constructor(private readonly options: ProgressTimeoutOptions) {
    this.stepTimer = this.schedule(options.firstMs, 'no response');
    this.totalTimer = this.schedule(options.totalMs, 'no end of the response');
  }

  static create(options: ProgressTimeoutOptions): ProgressTimeout {
    return new ProgressTimeout(options);
  }

  /** Aborts with an error that names the limit which was exceeded. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  recordProgress(): void {
    clearTimeout(this.stepTimer);
    this.stepTimer = this.schedule(this.options.gapMs, 'no further part of the response');
  }

  /** Ends the limits; to be called in each case, as the timers would go on. */
  end(): void {
    clearTimeout(this.stepTimer);
    clearTimeout(this.totalTimer);
  }

  private schedule(delayMs: number, fault: string): NodeJS.Timeout {
    return setTimeout(
      () => this.controller.abort(new Error(`${fault} within ${Math.round(delayMs)} ms`)),
      delayMs,
    );
  }
}
