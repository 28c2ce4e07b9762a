import type { Random } from '@lovagearch/common';
import type { RateShare } from './rateShare.js';
import type { RateLimitStatement } from './types.js';

/**
 * Time for which a probe may be sent, in milliseconds. Probes that are not used lapse, or all nodes without
 * requests for a while could send one at the same time.
 */
const PROBE_WINDOW_MS = 1_000;

/**
 * Time by which a late request brings the next one forward, in milliseconds. Without it, a node that receives
 * requests now and then would send less than its share; more would add to the burst of all nodes.
 */
export const MAX_LATE_CREDIT_MS = 50;

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

  private coldPerS: number | undefined;

  private namedAtMs = Number.NEGATIVE_INFINITY;

  private rejectedText: string | undefined;

  /** Clock reading from which the next request may be sent; undefined until the share is first used. */
  private nextSendAtMs: number | undefined;

  /** Interval by which that reading was computed, in milliseconds. */
  private intervalMs = 0;

  static create(): RequestRateLimit {
    return new RequestRateLimit();
  }

  /** Creates an independent copy, on which a question does not use up the time of a probe. */
  createCopy(): RequestRateLimit {
    return Object.assign(RequestRateLimit.create(), this);
  }

  /** The limit in force, or undefined: the stricter of the one that the endpoint named and that of a cold one. */
  get limitPerS(): number | undefined {
    if (this.requestsPerS === undefined) return this.coldPerS;
    return Math.min(this.requestsPerS, this.coldPerS ?? Number.POSITIVE_INFINITY);
  }

  /** Sets the requests per second that the endpoint bears while it is cold; undefined once it is warm. */
  setColdLimit(requestsPerS: number | undefined): void {
    this.coldPerS = requestsPerS;
    if (this.limitPerS === undefined) this.nextSendAtMs = undefined;
  }

  /** Whether this node may send a request now; without a limit it always may. */
  canSend(share: RateShare, nowMs: number, random: Random): boolean {
    if (this.limitPerS === undefined) return true;
    // Nodes start at different times, as all of them receive the limit at about the same time.
    const nextSendAtMs =
      this.computeNextSendAtMs(share, nowMs) ?? nowMs + share.intervalMs * random();
    this.nextSendAtMs = nextSendAtMs;
    this.intervalMs = share.intervalMs;
    if (nowMs < nextSendAtMs) return false;
    if (share.type === 'paced' || nowMs < nextSendAtMs + PROBE_WINDOW_MS) return true;
    this.nextSendAtMs = nowMs + share.intervalMs * random();
    return false;
  }

  /** Records that a request was sent. */
  recordSent(share: RateShare, nowMs: number): void {
    if (this.limitPerS === undefined) return;
    const earliestMs = nowMs - Math.min(MAX_LATE_CREDIT_MS, share.intervalMs / 2);
    const nextSendAtMs = this.computeNextSendAtMs(share, nowMs) ?? nowMs;
    this.nextSendAtMs = Math.max(nextSendAtMs, earliestMs) + share.intervalMs;
    this.intervalMs = share.intervalMs;
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
        if (this.coldPerS === undefined) this.nextSendAtMs = undefined;
        return { type: 'lifted', previousPerS };
      case 'invalid':
        if (statement.text === this.rejectedText) return undefined;
        this.rejectedText = statement.text;
        return { type: 'rejected', text: statement.text };
      default:
        return statement satisfies never;
    }
  }

  /** Scales the wait with the interval, so that a changed limit takes effect before the next send. */
  private computeNextSendAtMs({ intervalMs }: RateShare, nowMs: number): number | undefined {
    if (this.nextSendAtMs === undefined || intervalMs === this.intervalMs) return this.nextSendAtMs;
    return nowMs + (this.nextSendAtMs - nowMs) * (intervalMs / this.intervalMs);
  }
}
