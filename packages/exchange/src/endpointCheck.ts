import { setImmediate as waitForTurn, setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from '@lovagearch/common';
import {
  CLOSE_SPREAD_MS,
  EVIDENCE_INTERVAL_MS,
  LISTENER_CLOSE_MS,
  SHARED_CHECK_MS,
} from './constants.js';
import type { EndpointConnection } from './endpointConnection.js';
import {
  decideEndpointLife,
  type EndpointLife,
  type EndpointLifeDecision,
  type OpeningResult,
} from './endpointLife.js';

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
  /** What became of the connection that the check opened last; undefined before it opens one. */
  private opening: OpeningResult | undefined;

  private connection: EndpointConnection | undefined;

  /** Resolves when the opening is no longer pending. */
  private opened: Promise<void> | undefined;

  /** Whether the endpoint accepted the connection before the last one, and closed it. */
  private hasAcceptedBefore = false;

  /** Time for which the connections have been watched since the last opening, in milliseconds. */
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
  ) {
    this.startMs = clock.nowMs();
    this.result = this.run();
  }

  /** @param unreadForMs time for which the end may have waited until it was read, in milliseconds */
  static create(connections: CheckedConnections, clock: Clock, unreadForMs: number): EndpointCheck {
    return new EndpointCheck(connections, clock, clock.nowMs() - unreadForMs);
  }

  /** Whether an end that is read now can share the check. */
  get canBeShared(): boolean {
    return this.opening === undefined && this.clock.nowMs() - this.startMs < SHARED_CHECK_MS;
  }

  /** Returns the result for an end, which shares the check if `canBeShared`. */
  waitForResult(unreadForMs: number): Promise<EndpointLife> {
    this.arrivedSinceMs = Math.min(this.arrivedSinceMs, this.clock.nowMs() - unreadForMs);
    return this.result;
  }

  private async run(): Promise<EndpointLife> {
    // The listener of a process that is killed accepts connections until the kernel has closed it.
    await sleep(LISTENER_CLOSE_MS);
    this.open();
    for (;;) {
      const decision = this.decide();
      switch (decision) {
        case 'reopen':
          this.hasAcceptedBefore = true;
          this.open();
          break;
        case 'undecided':
          await this.watch();
          break;
        default:
          this.finish(decision);
          return decision;
      }
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

  private decide(): EndpointLifeDecision {
    const nowMs = this.clock.nowMs();
    const { arrivedSinceMs, connection, connections, openedAtMs = nowMs, startMs } = this;
    return decideEndpointLife({
      opening: this.opening ?? 'pending',
      hasOpenedConnection: connection?.isEstablished === true,
      hasAcceptedBefore: this.hasAcceptedBefore,
      hasOlderConnection: connections.hasOlderThan(arrivedSinceMs, true),
      hasUnreadConnection: connections.hasOlderThan(arrivedSinceMs, false),
      hasLostConnection: connections.hasLostSince(startMs - CLOSE_SPREAD_MS),
      openedAfterMs: openedAtMs - arrivedSinceMs,
      watchedMs: this.watchedMs,
    });
  }
}
