import { setImmediate as nextLoopTurn, setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from '@lovagearch/common';
import { EVIDENCE_INTERVAL_MS } from './constants.js';
import type { EndpointConnection } from './endpointConnection.js';
import { decideEndpointLife, type EndpointLife, type OpeningResult } from './endpointLife.js';

/** The connections of one endpoint, as a check sees them. */
export interface CheckedConnections {
  /** Creates a connection that is not open yet; undefined if the endpoint has as many as it may have. */
  readonly create: () => EndpointConnection | undefined;
  /** Hands over a connection that the check has opened, for the next request. */
  readonly release: (connection: EndpointConnection) => void;
  /** Whether a connection is open that was established before a clock reading. */
  readonly hasOlderThan: (atMs: number) => boolean;
  /** Whether the endpoint has closed or reset a connection since a clock reading. */
  readonly hasLostSince: (atMs: number) => boolean;
}

/**
 * Finds out whether the process of an endpoint outlives the end of a connection. Ends that are read in one turn of the
 * event loop share a check.
 */
export class EndpointCheck {
  /** What became of the connection that the check opens; undefined until the turn of the event loop is over. */
  private opening: OpeningResult | undefined;

  private readonly startMs: number;

  private readonly result: Promise<EndpointLife>;

  private constructor(
    private readonly connections: CheckedConnections,
    private readonly clock: Clock,
    private silentSinceMs: number,
  ) {
    this.startMs = clock.nowMs();
    this.result = this.run();
  }

  /** @param silentSinceMs clock reading of the endpoint's last bytes before the end */
  static create(
    connections: CheckedConnections,
    clock: Clock,
    silentSinceMs: number,
  ): EndpointCheck {
    return new EndpointCheck(connections, clock, silentSinceMs);
  }

  /** Whether an end that is read now can share the check. */
  get canBeShared(): boolean {
    return this.opening === undefined;
  }

  /** Returns the result for an end, which shares the check if `canBeShared`. */
  waitForResult(silentSinceMs: number): Promise<EndpointLife> {
    this.silentSinceMs = Math.min(this.silentSinceMs, silentSinceMs);
    return this.result;
  }

  private async run(): Promise<EndpointLife> {
    // Ends of other connections may have arrived as well, and are read before this turn is over.
    await nextLoopTurn();
    const connection = this.connections.create();
    this.opening = connection === undefined ? 'failed' : 'pending';
    const opened = connection?.open().then(async (result) => {
      await nextLoopTurn();
      this.opening = result;
    });
    for (;;) {
      const opening = this.getOpening(connection);
      const life = this.decide(opening);
      if (life === 'undecided') {
        const wait = sleep(EVIDENCE_INTERVAL_MS);
        await (opening === 'pending' ? Promise.race([opened, wait]) : wait);
        continue;
      }
      if (life === 'running' && connection?.isEstablished === true)
        this.connections.release(connection);
      else connection?.close();
      return life;
    }
  }

  private getOpening(connection: EndpointConnection | undefined): OpeningResult {
    const opening = this.opening ?? 'pending';
    // An endpoint that has too many connections, and a proxy before one that has ended, accept and close.
    return opening === 'accepted' && connection?.isEstablished !== true ? 'failed' : opening;
  }

  private decide(opening: OpeningResult): EndpointLife | 'undecided' {
    const nowMs = this.clock.nowMs();
    return decideEndpointLife({
      opening,
      hasOlderConnection: this.connections.hasOlderThan(this.silentSinceMs),
      hasLostConnection: this.connections.hasLostSince(this.silentSinceMs),
      silentForMs: nowMs - this.silentSinceMs,
      waitedMs: nowMs - this.startMs,
    });
  }
}
