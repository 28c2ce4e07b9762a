import type { Clock } from '@lovagearch/common';
import {
  type MirrorEvent,
  MirrorFollower,
  type PeerFallback,
  type PeerSource,
  type TableMirror,
  type TableSource,
} from '@lovagearch/mirror';
import {
  FIRST_READ_CHECK_INTERVAL_MS,
  FOLLOWER_STORE_RETRY_MS,
  MAX_FULL_RATE_NODES,
  READER_LONG_POLL_MS,
  TABLE_RELAY_INTERVAL_MS,
} from './constants.js';
import type { TableRelay } from './tableRelay.js';
import type { TableTiming } from './tableTiming.js';

export interface TableFollowerDependencies {
  readonly source: TableSource;
  readonly peers: PeerSource;
  readonly tableRelay: TableRelay;
  readonly getNodeCount: () => number;
  readonly clock: Clock;
  readonly onEvent: (event: MirrorEvent) => void;
  /** Timer, by default that of the process; simulations replace it. */
  readonly wait?: (delayMs: number) => Promise<void>;
}

/**
 * Creates the follower that reads a table from the store, as far as the relay does not keep the copy fresh.
 *
 * @example
 * const follower = createTableFollower(mirror, timing, { type: 'after_failure', minAgeMs: 1_500 }, parts);
 * void follower.run();
 */
export const createTableFollower = (
  mirror: TableMirror,
  { pollIntervalMs, longPollMs, answerTimeoutMs, retryDelayMs }: TableTiming,
  peerFallback: PeerFallback,
  { source, peers, tableRelay, getNodeCount, clock, onEvent, wait }: TableFollowerDependencies,
): MirrorFollower =>
  MirrorFollower.create({
    mirror,
    source,
    peers,
    clock,
    onEvent,
    options: {
      answerTimeoutMs,
      retryDelayMs,
      peerFallback,
      getPollIntervalMs: () => {
        if (mirror.version === 0) return FIRST_READ_CHECK_INTERVAL_MS;
        return tableRelay.isStoreReader ? pollIntervalMs : TABLE_RELAY_INTERVAL_MS;
      },
      // The poll bounds the age of what a reader passes on.
      getLongPollMs: () =>
        getNodeCount() > MAX_FULL_RATE_NODES
          ? Math.min(longPollMs, READER_LONG_POLL_MS)
          : longPollMs,
      getStoreRetryDelayMs: () =>
        tableRelay.isStoreReader ? retryDelayMs : FOLLOWER_STORE_RETRY_MS,
      isStoreReadDue: (copyAgeMs) => tableRelay.isStoreReadDue(mirror, copyAgeMs),
    },
    ...(wait === undefined ? {} : { wait }),
  });
