import { type Logger, BoundedMap } from '@lovagearch/common';
import type { EngineAddress, EngineClient } from '@lovagearch/engine-client';
import { MAX_ABANDONED_STREAMS, RESUME_GRACE_MS } from './callerConstants.js';

interface AbandonedStream {
  readonly address: EngineAddress;
  readonly timer: NodeJS.Timeout;
}

/**
 * Streams whose callers have disconnected. Each keeps running for 10 s so that the caller can
 * reconnect with `Last-Event-ID`, and is then cancelled. Owns the cancellation timers.
 */
export class AbandonedStreams {
  private readonly streams = BoundedMap.create<string, AbandonedStream>(MAX_ABANDONED_STREAMS);

  private constructor(
    private readonly engines: EngineClient,
    private readonly log: Logger,
    private readonly resumeGraceMs: number,
  ) {}

  static create(
    engines: EngineClient,
    log: Logger,
    resumeGraceMs: number = RESUME_GRACE_MS,
  ): AbandonedStreams {
    return new AbandonedStreams(engines, log, resumeGraceMs);
  }

  get size(): number {
    return this.streams.size;
  }

  /**
   * Schedules the cancellation of a stream. At capacity, the oldest stream is cancelled at once.
   */
  add(address: EngineAddress, streamId: string): void {
    this.remove(streamId);
    if (this.streams.size >= this.streams.capacity) this.cancelOldest();
    const timer = setTimeout(() => this.cancel(streamId), this.resumeGraceMs);
    this.streams.set(streamId, { address, timer });
  }

  /** Removes a stream whose caller has reconnected to this node, so that it isn't cancelled. */
  remove(streamId: string): void {
    const stream = this.streams.peek(streamId);
    if (stream === undefined) return;
    clearTimeout(stream.timer);
    this.streams.delete(streamId);
  }

  /** Clears all timers without cancelling the streams; they run to completion on their runners. */
  stop(): void {
    for (const { timer } of this.streams.values()) clearTimeout(timer);
    for (const streamId of [...this.streams.keys()]) this.streams.delete(streamId);
  }

  private cancelOldest(): void {
    const oldest = this.streams.keys().next();
    if (!oldest.done) this.cancel(oldest.value);
  }

  private cancel(streamId: string): void {
    const stream = this.streams.peek(streamId);
    if (stream === undefined) return;
    this.remove(streamId);
    this.engines.cancel(stream.address, streamId).match(
      () => this.log.debug(`Cancelled stream ${streamId}: its caller did not reconnect.`),
      (error) => this.log.debug(`Failed to cancel stream ${streamId}: ${error.type}.`),
    );
  }
}
