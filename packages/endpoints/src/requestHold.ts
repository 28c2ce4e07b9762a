import { MAX_HOLD_MS } from './constants.js';
import type { HoldStatement } from './types.js';

const MS_PER_SECOND = 1_000;
/** Time by which a hold has to be extended to be reported again, as many rejections arrive together. */
const MIN_REPORTED_EXTENSION_MS = 500;

/** What a response changed about the time for which its endpoint wants no requests. */
export type HoldChange =
  | { readonly type: 'named'; readonly forS: number }
  | { readonly type: 'rejected'; readonly text: string };

/** The time for which an endpoint that rejected a request wants no others from this node. */
export class RequestHold {
  private endsAtMs = Number.NEGATIVE_INFINITY;

  private rejectedText: string | undefined;

  static create(): RequestHold {
    return new RequestHold();
  }

  /** Returns the clock reading at which the hold ends, or undefined if there is none now. */
  getEndMs(nowMs: number): number | undefined {
    return nowMs < this.endsAtMs ? this.endsAtMs : undefined;
  }

  /**
   * Applies what a response says. No response shortens a hold: nothing is sent during it, so all responses
   * that arrive then answer requests that were sent before it.
   *
   * @param nowMs reading of a clock that the time of day doesn't move, as a step would end the hold early
   * @returns undefined if nothing changed
   * @example
   * hold.applyStatement({ type: 'named', forS: 2.5 }, clock.nowMs());
   */
  applyStatement(statement: HoldStatement, nowMs: number): HoldChange | undefined {
    switch (statement.type) {
      case 'named': {
        const endsAtMs = nowMs + Math.min(statement.forS * MS_PER_SECOND, MAX_HOLD_MS);
        const extensionMs = endsAtMs - Math.max(nowMs, this.endsAtMs);
        const isNew = this.getEndMs(nowMs) === undefined && extensionMs > 0;
        this.endsAtMs = Math.max(this.endsAtMs, endsAtMs);
        return isNew || extensionMs > MIN_REPORTED_EXTENSION_MS
          ? { type: 'named', forS: statement.forS }
          : undefined;
      }
      case 'none':
        return undefined;
      case 'invalid':
        if (statement.text === this.rejectedText) return undefined;
        this.rejectedText = statement.text;
        return { type: 'rejected', text: statement.text };
      default:
        return statement satisfies never;
    }
  }
}
