/**
 * Estimates how long connections have waited in the accept queue of a listener. libuv accepts one of them per turn of
 * the event loop, so that the queue was empty only at a turn without one.
 *
 * @example
 * const arrivedAtMs = backlog.recordConnection(nowMs, readDelayMs);
 * if (!backlog.endTurn()) startRequests();
 */
export class AcceptBacklog {
  /** Earliest arrival of the connections that are accepted now; undefined while the queue is empty. */
  private sinceMs: number | undefined;

  private hasAccepted = false;

  static create(): AcceptBacklog {
    return new AcceptBacklog();
  }

  /** Whether the last turn has accepted a connection, behind which others may wait. */
  get isPossible(): boolean {
    return this.sinceMs !== undefined;
  }

  /**
   * Records an accepted connection.
   *
   * @param readDelayMs time for which the first connection of a backlog may have waited
   * @returns clock reading at which the connection arrived, at the earliest, in milliseconds
   */
  recordConnection(nowMs: number, readDelayMs: number): number {
    this.hasAccepted = true;
    this.sinceMs ??= nowMs - readDelayMs;
    return this.sinceMs;
  }

  /** Records that a turn has read from all connections and listeners. */
  recordTurn(): void {
    if (!this.hasAccepted) this.sinceMs = undefined;
    this.hasAccepted = false;
  }
}
