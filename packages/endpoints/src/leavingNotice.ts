import type { LeavingStatement } from './types.js';

/** What a response changed about the leaving of its endpoint. */
export type LeavingChange =
  { readonly type: 'announced' } | { readonly type: 'rejected'; readonly text: string };

/** Whether an endpoint has announced in a response that it is leaving. It can't be withdrawn. */
export class LeavingNotice {
  private hasAnnounced = false;

  private rejectedText: string | undefined;

  static create(): LeavingNotice {
    return new LeavingNotice();
  }

  get isAnnounced(): boolean {
    return this.hasAnnounced;
  }

  /**
   * Applies what a response says. One without the announcement withdraws nothing, as responses on different
   * connections overtake each other.
   *
   * @returns undefined if nothing changed
   * @example
   * const change = notice.applyStatement(head.leaving);
   * if (change?.type === 'announced') log('endpoint_leaving_announced');
   */
  applyStatement(statement: LeavingStatement): LeavingChange | undefined {
    switch (statement.type) {
      case 'leaving':
        if (this.hasAnnounced) return undefined;
        this.hasAnnounced = true;
        return { type: 'announced' };
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
