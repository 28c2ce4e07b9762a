/** Bytes of a transfer that count as progress; a sender may keep up a transfer with a byte now and then. */
const MIN_PROGRESS_BYTES = 1_024;

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
 * for await (const chunk of response.body) timeout.recordBytes(chunk.length);
 * timeout.end();
 */
export class ProgressTimeout {
  private readonly controller = new AbortController();

  private stepTimer: NodeJS.Timeout;

  private readonly totalTimer: NodeJS.Timeout;

  /** Clock reading at the last progress; undefined before the first. */
  private progressAtMs: number | undefined;

  /** Bytes since the last progress. */
  private pendingBytes = 0;

  private constructor(private readonly options: ProgressTimeoutOptions) {
    const { firstMs, totalMs } = options;
    this.stepTimer = setTimeout(() => this.abort('no response', firstMs), firstMs);
    this.totalTimer = setTimeout(() => this.abort('no end of the response', totalMs), totalMs);
  }

  static create(options: ProgressTimeoutOptions): ProgressTimeout {
    return new ProgressTimeout(options);
  }

  /** Aborts with an error that names the limit which was exceeded. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  recordProgress(): void {
    const isFirst = this.progressAtMs === undefined;
    this.progressAtMs = performance.now();
    this.pendingBytes = 0;
    if (!isFirst) return;
    clearTimeout(this.stepTimer);
    this.scheduleStep(this.options.gapMs);
  }

  /** Records a part of the transfer, which counts as progress together with those before it. */
  recordBytes(bytes: number): void {
    this.pendingBytes += bytes;
    if (this.pendingBytes >= MIN_PROGRESS_BYTES) this.recordProgress();
  }

  /** Ends the limits; to be called in each case, as the timers would go on. */
  end(): void {
    clearTimeout(this.stepTimer);
    clearTimeout(this.totalTimer);
  }

  /** One timer for many parts: it is set again only when it fires. */
  private scheduleStep(delayMs: number): void {
    const { gapMs } = this.options;
    this.stepTimer = setTimeout(() => {
      const silentMs = performance.now() - (this.progressAtMs ?? 0);
      if (silentMs < gapMs) this.scheduleStep(gapMs - silentMs);
      else this.abort('no further part of the response', gapMs);
    }, delayMs);
  }

  private abort(fault: string, limitMs: number): void {
    this.controller.abort(new Error(`${fault} within ${Math.round(limitMs)} ms`));
  }
}
