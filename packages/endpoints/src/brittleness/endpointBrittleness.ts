import type { BrittlenessStatement } from '../types.js';

/** Age up to which an endpoint's own statement counts more than a newer one of its service, in milliseconds. */
const OWN_STATEMENT_AGE_MS = 3_000;
/** Time for which an endpoint's own statement counts after another of its service withdrew its own, in milliseconds. */
const OWN_STATEMENT_ALONE_MS = 10_000;
/**
 * Time for which the statement of one endpoint counts for others of its service, in milliseconds, unless one of them
 * responds without it. A node that sends the service no requests meanwhile learns nothing else.
 */
const SERVICE_STATEMENT_AGE_MS = 60_000;

/** What a response changed about the brittleness of its endpoint. */
export type BrittlenessChange =
  | {
      readonly type: 'named';
      readonly rejectionsPerS: number;
      readonly previousPerS: number | undefined;
    }
  | { readonly type: 'lifted'; readonly previousPerS: number }
  | { readonly type: 'rejected'; readonly text: string };

/** The last statement of any endpoint of a service that it is brittle. */
export interface ServiceBrittleness {
  readonly rejectionsPerS: number;
  readonly atMs: number;
}

/** The rejections per second from which an endpoint falls over, as its responses name them. */
export class EndpointBrittleness {
  private rejectionsPerS: number | undefined;

  /** Clock reading of the last response with or without a statement. */
  private statedAtMs = Number.NEGATIVE_INFINITY;

  private rejectedText: string | undefined;

  static create(): EndpointBrittleness {
    return new EndpointBrittleness();
  }

  /** The value that the endpoint named itself, or undefined. */
  get namedPerS(): number | undefined {
    return this.rejectionsPerS;
  }

  /**
   * Returns the rejections that the endpoint bears in a second; undefined if it isn't brittle. An endpoint that has not
   * responded lately, such as one that has just started, is as brittle as the others of its service.
   */
  findLimit(service: ServiceBrittleness | undefined, nowMs: number): number | undefined {
    if (service === undefined || nowMs - service.atMs > SERVICE_STATEMENT_AGE_MS)
      return nowMs - this.statedAtMs > OWN_STATEMENT_ALONE_MS ? undefined : this.rejectionsPerS;
    const isOwnRecent = this.statedAtMs + OWN_STATEMENT_AGE_MS >= service.atMs;
    return isOwnRecent ? this.rejectionsPerS : service.rejectionsPerS;
  }

  /**
   * Applies what a response says. A response without the statement lifts it only if its request was sent after the
   * statement was last received, as responses on different connections overtake each other.
   *
   * @param sentAtMs clock reading at which the request was sent
   * @returns undefined if nothing changed
   * @example
   * const change = brittleness.applyStatement(head.brittleness, sentAtMs, clock.nowMs());
   */
  applyStatement(
    statement: BrittlenessStatement,
    sentAtMs: number,
    nowMs: number,
  ): BrittlenessChange | undefined {
    const previousPerS = this.rejectionsPerS;
    switch (statement.type) {
      case 'named':
        this.rejectionsPerS = statement.rejectionsPerS;
        this.statedAtMs = nowMs;
        return previousPerS === statement.rejectionsPerS
          ? undefined
          : { type: 'named', rejectionsPerS: statement.rejectionsPerS, previousPerS };
      case 'none':
        if (previousPerS === undefined) {
          this.statedAtMs = nowMs;
          return undefined;
        }
        if (sentAtMs <= this.statedAtMs) return undefined;
        this.statedAtMs = nowMs;
        this.rejectionsPerS = undefined;
        return { type: 'lifted', previousPerS };
      case 'invalid':
        if (statement.text === this.rejectedText) return undefined;
        this.rejectedText = statement.text;
        return { type: 'rejected', text: statement.text };
      default:
        return statement satisfies never;
    }
  }
}
