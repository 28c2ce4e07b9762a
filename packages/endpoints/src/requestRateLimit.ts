import type { RateLimitStatement } from './types.js';

/** What a response changed about the limit of its endpoint. */
export type RateLimitChange =
  | {
      readonly type: 'named';
      readonly requestsPerS: number;
      readonly previousPerS: number | undefined;
    }
  | { readonly type: 'lifted'; readonly previousPerS: number }
  | { readonly type: 'rejected'; readonly text: string };

/** The requests per second that an endpoint accepts from all nodes together, as its responses name it. */
export class RequestRateLimit {
  private requestsPerS: number | undefined;

  private namedAtMs = Number.NEGATIVE_INFINITY;

  private rejectedText: string | undefined;

  static create(): RequestRateLimit {
    return new RequestRateLimit();
  }

  /** The limit in force, or undefined. */
  get limitPerS(): number | undefined {
    return this.requestsPerS;
  }

  /**
   * Applies what a response says. A response without a limit lifts it only if its request was sent after the
   * limit was last named, as responses on different connections overtake each other.
   *
   * @param sentAtMs clock reading at which the request was sent
   * @returns undefined if nothing changed
   */
  applyStatement(
    statement: RateLimitStatement,
    sentAtMs: number,
    nowMs: number,
  ): RateLimitChange | undefined {
    const previousPerS = this.requestsPerS;
    switch (statement.type) {
      case 'named':
        this.requestsPerS = statement.requestsPerS;
        this.namedAtMs = nowMs;
        return previousPerS === statement.requestsPerS
          ? undefined
          : { type: 'named', requestsPerS: statement.requestsPerS, previousPerS };
      case 'none':
        if (previousPerS === undefined || sentAtMs <= this.namedAtMs) return undefined;
        this.requestsPerS = undefined;
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
