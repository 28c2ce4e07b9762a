import { CHUNKS_PER_LOT, FREE_CHUNKS, FREE_CHUNKS_PER_S } from './constants.js';
import type { ReadPacer } from './readPacer.js';

const MS_PER_S = 1_000;

/** Source of chunks that can be stopped; `pause` may let chunks through that were already received. */
export interface PausableSource {
  readonly pause: () => void;
  readonly resume: () => void;
}

/**
 * Counts the chunks of one body. If it has more than proper ones, its source is paused while the process handles too
 * many such chunks.
 *
 * @example
 * const reader = PacedReader.create(pacer, { pause: () => socket.pause(), resume: () => socket.resume() });
 * incoming.on('data', () => reader.recordChunks(1));
 * incoming.once('close', () => reader.finish());
 */
export class PacedReader {
  /** Chunks that were not yet counted by the pacer; below 0 after a turn, which counts a lot in advance. */
  private uncountedChunks = 0;

  private freeChunks = FREE_CHUNKS;

  /** Clock reading up to which free chunks were added; undefined before the first lot. */
  private refilledAtMs: number | undefined;

  /** Gives up the turn that the source waits for; undefined while it is not paused. */
  private cancelTurn: (() => void) | undefined;

  private hasEnded = false;

  private constructor(
    private readonly pacer: ReadPacer,
    private readonly source: PausableSource,
  ) {}

  static create(pacer: ReadPacer, source: PausableSource): PacedReader {
    return new PacedReader(pacer, source);
  }

  /** Whether the source is paused. */
  get isPaused(): boolean {
    return this.cancelTurn !== undefined;
  }

  recordChunks(chunks: number): void {
    this.uncountedChunks += chunks;
    if (this.uncountedChunks < CHUNKS_PER_LOT || this.isPaused || this.hasEnded) return;
    const chunksToCount = this.uncountedChunks;
    this.uncountedChunks = 0;
    if (this.takeFreeChunks(chunksToCount) || this.pacer.takeChunks(chunksToCount)) return;
    this.source.pause();
    this.cancelTurn = this.pacer.waitForTurn(() => this.resume());
  }

  /** Ends the counting; a source that is paused is resumed, so that its end can be read. */
  finish(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const { cancelTurn } = this;
    if (cancelTurn === undefined) return;
    this.cancelTurn = undefined;
    cancelTurn();
    this.source.resume();
  }

  private takeFreeChunks(count: number): boolean {
    const { nowMs } = this.pacer;
    const refilled = ((nowMs - (this.refilledAtMs ?? nowMs)) * FREE_CHUNKS_PER_S) / MS_PER_S;
    this.refilledAtMs = nowMs;
    this.freeChunks = Math.min(FREE_CHUNKS, this.freeChunks + refilled);
    if (this.freeChunks < count) return false;
    this.freeChunks -= count;
    return true;
  }

  private resume(): void {
    this.cancelTurn = undefined;
    this.uncountedChunks -= CHUNKS_PER_LOT;
    this.source.resume();
  }
}
