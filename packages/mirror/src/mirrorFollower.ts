import { setTimeout as waitMs } from 'node:timers/promises';
import type { Clock } from '@lovagearch/common';
import type { TableMirror } from './tableMirror.js';
import type { PeerSource, ReadResult, TableSource } from './types.js';

/** News of a mirror's sources, for logs and for what depends on the store. */
export type FollowEvent =
  | { readonly type: 'store_lost'; readonly table: string; readonly reason: string }
  | { readonly type: 'store_regained'; readonly table: string; readonly lostForMs: number }
  | { readonly type: 'history_lost'; readonly table: string; readonly afterVersion: number }
  | {
      readonly type: 'peer_used';
      readonly table: string;
      readonly version: number;
      readonly ageMs: number;
    };

export interface FollowOptions {
  /** Returns the time that the store may keep a call open without changes. */
  readonly getWaitMs: () => number;
  /** Returns the least time between the starts of two calls; changes in between come together. */
  readonly getPaceMs: () => number;
  /** Pause after a failed call. */
  readonly retryMs: number;
  /** Age of the copy from which peers are asked. */
  readonly peerAfterMs: number;
  /**
   * Returns the age up to which a copy that peers keep in step is fresh enough to leave the store alone;
   * 0 if this node reads the store itself.
   */
  readonly getRelayMaxAgeMs: () => number;
}

interface FollowParts {
  readonly mirror: TableMirror;
  readonly source: TableSource;
  readonly peers: PeerSource;
  readonly clock: Clock;
  readonly options: FollowOptions;
  readonly onEvent: (event: FollowEvent) => void;
}

/**
 * Follows one table: a whole read, then long polls for changes. While the store fails, peers are
 * asked for what they know; a peer's copy never replaces a newer one.
 *
 * @example
 * const follower = MirrorFollower.create({ mirror, source, peers, clock, options, onEvent });
 * void follower.run();
 */
export class MirrorFollower {
  private isStopped = false;

  private lostSinceMs: number | undefined;

  private lostReason = '';

  private needsWholeRead = true;

  private constructor(private readonly parts: FollowParts) {}

  static create(parts: FollowParts): MirrorFollower {
    return new MirrorFollower(parts);
  }

  get isStoreReachable(): boolean {
    return this.lostSinceMs === undefined && !this.needsWholeRead;
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Runs until `stop` is called. It never throws. */
  async run(): Promise<void> {
    const { clock, options } = this.parts;
    while (!this.isStopped) {
      const startMs = clock.nowMs();
      const isOk = await this.followOnce();
      const pauseMs = isOk ? options.getPaceMs() - (clock.nowMs() - startMs) : options.retryMs;
      if (pauseMs > 0) await waitMs(pauseMs);
    }
  }

  private async followOnce(): Promise<boolean> {
    const { mirror, clock, source, options } = this.parts;
    if (mirror.getAgeMs(clock.nowMs()) < options.getRelayMaxAgeMs()) return true;
    const result = this.needsWholeRead
      ? await source.readAll(mirror.table)
      : await source.readChanges(mirror.table, mirror.version, options.getWaitMs());
    if (result.type === 'rows') {
      this.applyStoreRows(result);
      return true;
    }
    const { failure } = result;
    if (failure.type === 'history_lost') {
      this.needsWholeRead = true;
      this.parts.onEvent({
        type: 'history_lost',
        table: mirror.table,
        afterVersion: mirror.version,
      });
      return this.followOnce();
    }
    this.recordLost(failure.reason);
    await this.readFromPeers();
    return false;
  }

  private applyStoreRows(result: Extract<ReadResult, { type: 'rows' }>): void {
    const { mirror, clock, onEvent } = this.parts;
    const nowMs = clock.nowMs();
    const { lostSinceMs } = this;
    this.needsWholeRead = false;
    this.lostSinceMs = undefined;
    // The listener has to know that the store is back before it sees which rows are missing.
    if (lostSinceMs !== undefined) {
      onEvent({ type: 'store_regained', table: mirror.table, lostForMs: nowMs - lostSinceMs });
    }
    mirror.applyBatch(result.batch, nowMs);
  }

  private recordLost(reason: string): void {
    const { mirror, clock, onEvent } = this.parts;
    if (this.lostSinceMs !== undefined && this.lostReason === reason) return;
    this.lostSinceMs ??= clock.nowMs();
    this.lostReason = reason;
    onEvent({ type: 'store_lost', table: mirror.table, reason });
  }

  private async readFromPeers(): Promise<void> {
    const { mirror, peers, clock, options, onEvent } = this.parts;
    if (mirror.getAgeMs(clock.nowMs()) < options.peerAfterMs) return;
    const result = await peers.readChanges(mirror.table, mirror.version);
    if (result.type === 'failure') return;
    const before = mirror.version;
    const { batch } = result;
    const isApplied = mirror.applyBatch(batch, clock.nowMs());
    if (!isApplied || mirror.version === before) return;
    onEvent({
      type: 'peer_used',
      table: mirror.table,
      version: mirror.version,
      ageMs: batch.ageMs,
    });
  }
}
