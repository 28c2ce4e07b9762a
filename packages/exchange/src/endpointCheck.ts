import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from '@lovagearch/common';
import {
  CLOSE_SPREAD_MS,
  EVIDENCE_INTERVAL_MS,
  LISTENER_CLOSE_MS,
  SHARED_CHECK_MS,
} from './constants.js';
import type { EndpointConnection } from './endpointConnection.js';
import { decideEndpointLife, type EndpointLife, type OpeningResult } from './endpointLife.js';

/** The connections of one endpoint, as a check sees them. */
export interface CheckedConnections {
  /** Creates a connection that is not open yet; undefined if the address is not usable. */
  readonly create: () => EndpointConnection | undefined;
  /** Hands over a connection that the check has opened, for the next request. */
  readonly release: (connection: EndpointConnection) => void;
  /** Whether a connection is open that was established before a clock reading. */
  readonly hasOlderThan: (atMs: number) => boolean;
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

  /** Clock reading at which the first end was read. */
  private readonly startMs: number;

  private openedAtMs: number | undefined;

  /** The connection that the check opens; undefined before it does, or if the address is not usable. */
  private connection: EndpointConnection | undefined;

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
    this.openedAtMs = this.clock.nowMs();
    const connection = this.connections.create();
    this.connection = connection;
    this.opening = connection === undefined ? 'failed' : 'pending';
    const opened = connection?.open().then((result) => {
      this.opening = result;
    });
    for (;;) {
      const opening = this.opening ?? 'pending';
      const life = this.decide(opening);
      if (life === 'undecided') {
        const wait = sleep(EVIDENCE_INTERVAL_MS);
        await (opening === 'pending' ? Promise.race([opened, wait]) : wait);
        continue;
      }
      if (life === 'ended' || connection?.isEstablished !== true) connection?.close();
      else this.connections.release(connection);
      return life;
    }
  }

  private decide(opening: OpeningResult): EndpointLife | 'undecided' {
    const nowMs = this.clock.nowMs();
    const { arrivedSinceMs, connection, connections, openedAtMs = nowMs, startMs } = this;
    return decideEndpointLife({
      opening,
      hasOpenedConnection: connection?.isEstablished === true,
      hasOlderConnection: connections.hasOlderThan(arrivedSinceMs),
      hasLostConnection: connections.hasLostSince(startMs - CLOSE_SPREAD_MS),
      openedAfterMs: openedAtMs - arrivedSinceMs,
      waitedMs: nowMs - startMs,
    });
  }
}
