import { setTimeout as waitForTimer } from 'node:timers/promises';
import { type Clock, getErrorMessage } from '@lovagearch/common';
import type { TableMirror } from './tableMirror.js';
import type { PeerSource, ReadResult, TableSource } from './types.js';

/** Changes in the availability of a mirror's sources, for logs and for code that depends on the store. */
export type MirrorEvent =
  | {
      readonly type: 'store_lost';
      readonly table: string;
      readonly reason: string;
      /** Age of the copy when the failure was detected; infinite before the first read. */
      readonly copyAgeMs: number;
    }
  | {
      readonly type: 'store_regained';
      readonly table: string;
      readonly lostForMs: number;
      /** Age that the copy had reached when the store responded. */
      readonly copyAgeMs: number;
    }
  | {
      readonly type: 'history_lost';
      readonly table: string;
      readonly afterVersion: number;
      /** Era and newest version of the store, if its response names them. */
      readonly era: number | undefined;
      readonly version: number | undefined;
    }
  /** A response of the store was not applied, as its version is below that of the copy. */
  | {
      readonly type: 'copy_discarded';
      readonly table: string;
      readonly era: number | undefined;
      readonly version: number;
      readonly copyVersion: number;
    }
  | {
      readonly type: 'peer_used';
      readonly table: string;
      readonly version: number;
      /** Whether the peer sent the changes since the copy's version; false if it sent the whole table. */
      readonly isPartial: boolean;
      readonly ageMs: number;
    };

/** Era of a store that was never restored, and one that no store has, in which all rows of a peer are asked for. */
const FIRST_ERA = 1;
const NO_ERA = -1;

/** When a table is read from peers instead of the store. */
export type PeerFallback =
  /** After a failed call, if the copy has reached an age. */
  | { readonly type: 'after_failure'; readonly minAgeMs: number }
  /**
   * Whenever the copy is older than that of a node whose calls are answered; a call that was dropped
   * doesn't fail before its timeout.
   */
  | { readonly type: 'when_overdue'; readonly getOverdueAgeMs: () => number };

export interface MirrorFollowerOptions {
  /** Returns the time for which the store may hold a call open while nothing changes. */
  readonly getLongPollMs: () => number;
  /** Time to the start of a response in addition to its long poll, and between two parts of it. */
  readonly answerTimeoutMs: number;
  /** Returns the minimum time between the starts of two calls; changes in between arrive in one batch. */
  readonly getPollIntervalMs: () => number;
  /** Minimum time between the starts of a failed call and the next one, and between two reads from peers. */
  readonly retryDelayMs: number;
  /** Returns a longer time between the starts of a failed call and the next one, by default `retryDelayMs`. */
  readonly getStoreRetryDelayMs?: () => number;
  readonly peerFallback: PeerFallback;
  /**
   * Whether the store has to be called, as the copy is not kept fresh by another node.
   *
   * @param copyAgeMs age of the copy; infinite before the first read
   */
  readonly isStoreReadDue: (copyAgeMs: number) => boolean;
}

interface MirrorFollowerDependencies {
  readonly mirror: TableMirror;
  readonly source: TableSource;
  readonly peers: PeerSource;
  readonly clock: Clock;
  readonly options: MirrorFollowerOptions;
  readonly onEvent: (event: MirrorEvent) => void;
  /** Timer, by default that of the process; simulations replace it. */
  readonly wait?: (delayMs: number) => Promise<void>;
}

/**
 * Follows one table: a full read, then long polls for changes. While the store is unavailable, the table
 * is read from peers; a peer's copy never replaces a newer one.
 *
 * @example
 * const follower = MirrorFollower.create({ mirror, source, peers, clock, options, onEvent });
 * void follower.run();
 */
export class MirrorFollower {
  private isStopped = false;

  private unreachableSinceMs: number | undefined;

  private unreachableReason = '';

  /** Largest age that the copy had at a failed call since the store was lost. */
  private lostCopyAgeMs = 0;

  private hasLostHistory = false;

  /** Whether the first read came after a restore of the store, and no peer was asked yet what the store has lost. */
  private needsPeerCopy = false;

  /** Whether a call to the store has failed since the last that succeeded or since peers were queried. */
  private hasFailedCall = false;

  private constructor(private readonly dependencies: MirrorFollowerDependencies) {}

  static create(parts: MirrorFollowerDependencies): MirrorFollower {
    return new MirrorFollower(parts);
  }

  get isStoreReachable(): boolean {
    return this.unreachableSinceMs === undefined && !this.needsFullRead;
  }

  /** A copy that another node relayed is continued with changes, like one that was read from the store. */
  private get needsFullRead(): boolean {
    return this.hasLostHistory || this.dependencies.mirror.version === 0;
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Runs until `stop` is called. It never throws. */
  async run(): Promise<void> {
    await Promise.all([this.followStore(), this.followPeers()]);
  }

  private async followStore(): Promise<void> {
    const { clock, options, wait = waitForTimer } = this.dependencies;
    while (!this.isStopped) {
      const startMs = clock.nowMs();
      const isSuccess = await this.tryFollowOnce();
      const intervalMs = isSuccess ? options.getPollIntervalMs() : this.getStoreRetryDelayMs();
      const pauseMs = intervalMs - (clock.nowMs() - startMs);
      if (pauseMs > 0) await wait(pauseMs);
    }
  }

  private getStoreRetryDelayMs(): number {
    const { getStoreRetryDelayMs, retryDelayMs } = this.dependencies.options;
    return getStoreRetryDelayMs?.() ?? retryDelayMs;
  }

  /** Reads from peers without holding back the calls to the store. */
  private async followPeers(): Promise<void> {
    const { options, wait = waitForTimer } = this.dependencies;
    while (!this.isStopped) {
      await wait(options.retryDelayMs);
      if (this.needsPeerCopy || this.dependencies.mirror.isUncertain) await this.mergePeerCopy();
      else if (this.isPeerReadDue()) await this.readFromPeers();
    }
  }

  private isPeerReadDue(): boolean {
    const { clock, mirror, options } = this.dependencies;
    const { peerFallback } = options;
    const ageMs = mirror.getAgeMs(clock.nowMs());
    // The first copy is on its way from another node.
    if (mirror.version === 0 && !options.isStoreReadDue(ageMs)) return false;
    // A peer that is cut off from the store may have an old copy, by which a node that reaches the store must not act.
    if (mirror.version === 0 && !this.hasFailedCall) return false;
    switch (peerFallback.type) {
      case 'when_overdue':
        return ageMs >= peerFallback.getOverdueAgeMs();
      case 'after_failure':
        return this.hasFailedCall && ageMs >= peerFallback.minAgeMs;
      default:
        return peerFallback satisfies never;
    }
  }

  /** Counts an unforeseen error as a failed call, so that the table is read again. */
  private async tryFollowOnce(): Promise<boolean> {
    try {
      return await this.followOnce();
    } catch (error) {
      this.recordFailedCall(getErrorMessage(error));
      return false;
    }
  }

  private async followOnce(): Promise<boolean> {
    const { mirror, clock, source, options } = this.dependencies;
    if (!options.isStoreReadDue(mirror.getAgeMs(clock.nowMs()))) {
      // A copy that another node keeps fresh shows that the store is reachable.
      if (mirror.version > 0) this.recordStoreReachable();
      return true;
    }
    const { era, version } = mirror;
    const result = this.needsFullRead
      ? await source.readAll(mirror.table, options.answerTimeoutMs)
      : await source.readChanges(
          mirror.table,
          version,
          options.getLongPollMs(),
          options.answerTimeoutMs,
        );
    if (result.type === 'rows') {
      const { batch } = result;
      if (!batch.isPartial || (batch.era ?? era) === era) {
        // A peer may have brought the copy into a later era meanwhile, to which `version` doesn't belong.
        if (!batch.isPartial || mirror.era === era) this.applyStoreRows(result);
        return true;
      }
      // The store was restored, so that the version belongs to a history that it doesn't have.
      return this.readWhole(version, batch);
    }
    const { failure } = result;
    if (failure.type === 'history_lost') return this.readWhole(version, failure);
    this.recordFailedCall(failure.reason);
    return false;
  }

  private async readWhole(
    afterVersion: number,
    { era, version }: { readonly era?: number | undefined; readonly version?: number | undefined },
  ): Promise<boolean> {
    const { mirror, onEvent } = this.dependencies;
    this.hasLostHistory = true;
    onEvent({ type: 'history_lost', table: mirror.table, afterVersion, era, version });
    return this.followOnce();
  }

  private applyStoreRows(result: Extract<ReadResult, { type: 'rows' }>): void {
    const { mirror, clock } = this.dependencies;
    const nowMs = clock.nowMs();
    this.hasLostHistory = false;
    this.lostCopyAgeMs = Math.max(this.lostCopyAgeMs, mirror.getAgeMs(nowMs));
    // Listeners have to know that the store has recovered before they see which rows were removed.
    this.recordStoreReachable();
    const { batch } = result;
    const isFirst = mirror.version === 0;
    if (mirror.applyBatch(batch, nowMs)) {
      if (isFirst && mirror.era > FIRST_ERA) this.needsPeerCopy = true;
      return;
    }
    this.dependencies.onEvent({
      type: 'copy_discarded',
      table: mirror.table,
      era: batch.era,
      version: batch.version,
      copyVersion: mirror.version,
    });
  }

  private recordStoreReachable(): void {
    const { mirror, clock, onEvent } = this.dependencies;
    const { unreachableSinceMs, lostCopyAgeMs } = this;
    this.hasFailedCall = false;
    this.lostCopyAgeMs = 0;
    if (unreachableSinceMs === undefined) return;
    this.unreachableSinceMs = undefined;
    onEvent({
      type: 'store_regained',
      table: mirror.table,
      lostForMs: Math.round(clock.nowMs() - unreachableSinceMs),
      copyAgeMs: Math.round(lostCopyAgeMs),
    });
  }

  private recordFailedCall(reason: string): void {
    this.hasFailedCall = true;
    const { mirror, clock, onEvent } = this.dependencies;
    const nowMs = clock.nowMs();
    const copyAgeMs = Math.round(mirror.getAgeMs(nowMs));
    this.lostCopyAgeMs = Math.max(this.lostCopyAgeMs, copyAgeMs);
    if (this.unreachableSinceMs !== undefined && this.unreachableReason === reason) return;
    this.unreachableSinceMs ??= nowMs;
    this.unreachableReason = reason;
    onEvent({ type: 'store_lost', table: mirror.table, reason, copyAgeMs });
  }

  /** Asks peers for what they know from before a restore of the store; without an answer, again after a pause. */
  private async mergePeerCopy(): Promise<void> {
    const { mirror, peers, clock, onEvent } = this.dependencies;
    const result = await peers.readChanges(mirror.table, 0, NO_ERA);
    if (result.type === 'failure') return;
    this.needsPeerCopy = false;
    const { batch } = result;
    if ((batch.era ?? 0) > mirror.era) mirror.applyBatch(batch, clock.nowMs());
    else mirror.mergeCopy(batch);
    const { version, isPartial, ageMs } = batch;
    onEvent({ type: 'peer_used', table: mirror.table, version, isPartial, ageMs });
  }

  private async readFromPeers(): Promise<void> {
    const { mirror, peers, clock, onEvent } = this.dependencies;
    this.hasFailedCall = false;
    const result = await peers.readChanges(mirror.table, mirror.version, mirror.era);
    if (result.type === 'failure') return;
    const { era: previousEra, version: previousVersion } = mirror;
    const { batch } = result;
    const isApplied = mirror.applyBatch(batch, clock.nowMs());
    if (!isApplied || (mirror.version === previousVersion && mirror.era === previousEra)) return;
    onEvent({
      type: 'peer_used',
      table: mirror.table,
      version: mirror.version,
      isPartial: batch.isPartial,
      ageMs: batch.ageMs,
    });
  }
}
