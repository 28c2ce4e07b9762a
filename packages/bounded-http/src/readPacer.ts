import { type Clock, processClock } from '@lovagearch/common';
import { CHUNKS_PER_LOT, MAX_CHUNKS_AT_ONCE, MAX_CHUNKS_PER_S } from './constants.js';

const MS_PER_S = 1_000;

export interface ReadPacerOptions {
  readonly clock?: Clock;
  readonly chunksPerS?: number;
  readonly chunksAtOnce?: number;
}

/**
 * Limits the chunks beyond those of proper bodies that the readers of this process handle per second. A reader beyond
 * the limit waits until those before it have had their turn.
 */
export class ReadPacer {
  private availableChunks: number;

  private refilledAtMs: number;

  private timer: NodeJS.Timeout | undefined;

  private readonly waiting = new Set<() => void>();

  private constructor(private readonly options: Required<ReadPacerOptions>) {
    this.availableChunks = options.chunksAtOnce;
    this.refilledAtMs = options.clock.nowMs();
  }

  static create(options: ReadPacerOptions = {}): ReadPacer {
    return new ReadPacer({
      clock: processClock,
      chunksPerS: MAX_CHUNKS_PER_S,
      chunksAtOnce: MAX_CHUNKS_AT_ONCE,
      ...options,
    });
  }

  /** Reading of the clock, in milliseconds. */
  get nowMs(): number {
    return this.options.clock.nowMs();
  }

  /** Counts chunks that were handled; returns whether the reader may go on. */
  takeChunks(chunks: number): boolean {
    this.refill();
    this.availableChunks -= chunks;
    return this.availableChunks > 0 && this.waiting.size === 0;
  }

  /**
   * Calls back when a reader that had to wait may handle a lot of chunks, which are then counted.
   *
   * @returns a function that gives the turn up
   */
  waitForTurn(resume: () => void): () => void {
    this.waiting.add(resume);
    this.scheduleTurn();
    return () => {
      this.waiting.delete(resume);
      if (this.waiting.size > 0) return;
      clearTimeout(this.timer);
      this.timer = undefined;
    };
  }

  private refill(): void {
    const { clock, chunksPerS, chunksAtOnce } = this.options;
    const nowMs = clock.nowMs();
    const refilled = ((nowMs - this.refilledAtMs) * chunksPerS) / MS_PER_S;
    this.availableChunks = Math.min(chunksAtOnce, this.availableChunks + refilled);
    this.refilledAtMs = nowMs;
  }

  private scheduleTurn(): void {
    if (this.timer !== undefined || this.waiting.size === 0) return;
    const missingChunks = Math.max(0, CHUNKS_PER_LOT - this.availableChunks);
    const delayMs = Math.ceil((missingChunks * MS_PER_S) / this.options.chunksPerS);
    this.timer = setTimeout(() => this.runTurns(), delayMs);
  }

  private runTurns(): void {
    this.timer = undefined;
    this.refill();
    for (const resume of [...this.waiting]) {
      if (this.availableChunks <= 0) break;
      this.availableChunks -= CHUNKS_PER_LOT;
      // An earlier one may have given this turn up.
      if (this.waiting.delete(resume)) resume();
    }
    this.scheduleTurn();
  }
}
