import { setImmediate as waitForTurn, setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from '@lovagearch/common';
import {
  CLOSE_SPREAD_MS,
  EVIDENCE_INTERVAL_MS,
  LISTENER_CLOSE_MS,
  SHARED_CHECK_MS,
} from './constants.js';
import type { EndpointConnection } from './endpointConnection.js';
import { decideEndpointLife, type EndpointLife, type OpeningResult } from './endpointLife.js';

/** The end of a connection that ended together with its response. */
export interface ConnectionEnd {
  /** Clock reading at which the request was sent, or an earlier one. */
  readonly sentAtMs: number;
  /** Time for which the end may have waited until it was read, in milliseconds. */
  readonly unreadForMs: number;
}

/** The connections of one endpoint, as a check sees them. */
export interface CheckedConnections {
  /** Creates a connection that is not open yet; undefined if the address is not usable. */
  readonly create: () => EndpointConnection | undefined;
  /** Hands over a connection that the check has opened, for the next request. */
  readonly release: (connection: EndpointConnection) => void;
  /** Whether a connection is open that was established before a clock reading and that `isRead` applies to. */
  readonly hasOlderThan: (atMs: number, isRead: boolean) => boolean;
  /** Whether the endpoint has closed or reset a connection since a clock reading. */
  readonly hasLostSince: (atMs: number) => boolean;
}

/**
 * Finds out whether the process of an endpoint outlives the end of a connection, by opening another one. Ends that are
 * read together share a check.
 */
export class EndpointCheck {
  /** What became of the connection that the check opens; undefined before it does. */
  private opening: OpeningResult | undefined;

  private connection: EndpointConnection | undefined;

  /** Resolves when the opening is no longer pending. */
  private opened: Promise<void> | undefined;

  /** Time for which the connections have been watched since the opening, in milliseconds. */
  private watchedMs = 0;

  /** Clock reading at which the first end was read. */
  private readonly startMs: number;

  private openedAtMs: number | undefined;

  private readonly result: Promise<EndpointLife>;

  private constructor(
    private readonly connections: CheckedConnections,
    private readonly clock: Clock,
    /** Clock reading at which an end can have arrived, at the earliest. */
    private arrivedSinceMs: number,
    /** Clock reading of a request that the endpoint has answered, so that it outlived what it lost before. */
    private sentAtMs: number,
  ) {
    this.startMs = clock.nowMs();
    this.result = this.run();
  }

  static create(
    connections: CheckedConnections,
    clock: Clock,
    { sentAtMs, unreadForMs }: ConnectionEnd,
  ): EndpointCheck {
    return new EndpointCheck(connections, clock, clock.nowMs() - unreadForMs, sentAtMs);
  }

  /** Whether an end that is read now can share the check. */
  get canBeShared(): boolean {
    return this.opening === undefined && this.clock.nowMs() - this.startMs < SHARED_CHECK_MS;
  }

  /** Returns the result for an end, which shares the check if `canBeShared`. */
  waitForResult({ sentAtMs, unreadForMs }: ConnectionEnd): Promise<EndpointLife> {
    this.arrivedSinceMs = Math.min(this.arrivedSinceMs, this.clock.nowMs() - unreadForMs);
    this.sentAtMs = Math.max(this.sentAtMs, sentAtMs);
    return this.result;
  }

  private async run(): Promise<EndpointLife> {
    // The listener of a process that is killed accepts connections until the kernel has closed it.
    await sleep(LISTENER_CLOSE_MS);
    this.open();
    for (;;) {
      const life = this.decide();
      if (life === 'undecided') {
        await this.watch();
        continue;
      }
      this.finish(life);
      return life;
    }
  }

  private open(): void {
    this.openedAtMs = this.clock.nowMs();
    this.connection = this.connections.create();
    this.opening = this.connection === undefined ? 'failed' : 'pending';
    this.opened = this.connection?.open().then((result) => {
      this.opening = result;
      this.watchedMs = 0;
    });
  }

  /** Waits until there may be more evidence. */
  private async watch(): Promise<void> {
    const wait = sleep(EVIDENCE_INTERVAL_MS);
    if (this.opening === 'pending') {
      await Promise.race([this.opened, wait]);
      if (this.opening !== 'pending') return;
    } else await wait;
    // After a delay of the event loop, timers expire before the ends of connections are read.
    await waitForTurn();
    this.watchedMs += EVIDENCE_INTERVAL_MS;
  }

  private finish(life: EndpointLife): void {
    const { connection } = this;
    if (life === 'ended' || connection?.isEstablished !== true) connection?.close();
    else this.connections.release(connection);
  }

  private decide(): EndpointLife | 'undecided' {
    const nowMs = this.clock.nowMs();
    const { arrivedSinceMs, connections, openedAtMs = nowMs, sentAtMs, startMs } = this;
    return decideEndpointLife({
      opening: this.opening ?? 'pending',
      hasOlderConnection: connections.hasOlderThan(arrivedSinceMs, true),
      hasUnreadConnection: connections.hasOlderThan(arrivedSinceMs, false),
      hasLostConnection: connections.hasLostSince(Math.max(startMs - CLOSE_SPREAD_MS, sentAtMs)),
      openedAfterMs: openedAtMs - arrivedSinceMs,
      watchedMs: this.watchedMs,
    });
  }
}
