import type { Attempt } from './attempt.js';

/** An attempt at an endpoint, with the weights on which the endpoint would start it. */
interface WaitingAttempt {
  readonly attempt: Pick<Attempt, 'hasOutput' | 'stopWaiting'>;
  readonly model: string;
  readonly weightVersion: number;
}

/**
 * Attempts that an endpoint may not have started yet. An endpoint that is busier than expected may start one
 * when its weights may no longer be used.
 */
export class WaitingAttempts {
  private readonly attempts = new Set<WaitingAttempt>();

  static create(): WaitingAttempts {
    return new WaitingAttempts();
  }

  /** Tracks an attempt until the returned function is called. */
  add(waiting: WaitingAttempt): () => void {
    this.attempts.add(waiting);
    return () => {
      this.attempts.delete(waiting);
    };
  }

  /**
   * Stops the attempts without output whose weights expire before the next call.
   *
   * @param getRemainingMs time for which requests may still start on a weight version, in milliseconds
   * @param untilNextCallMs time until the next call, in milliseconds
   * @returns number of stopped attempts
   */
  stopOverdue(
    getRemainingMs: (model: string, weightVersion: number) => number,
    untilNextCallMs: number,
  ): number {
    let stopped = 0;
    for (const waiting of this.attempts) {
      const { attempt, model, weightVersion } = waiting;
      if (attempt.hasOutput) this.attempts.delete(waiting);
      else if (getRemainingMs(model, weightVersion) <= untilNextCallMs) {
        attempt.stopWaiting();
        stopped += 1;
      }
    }
    return stopped;
  }
}
