import { MS_PER_SECOND } from '@lovagearch/common';

/** Number of slices in the window; counts expire one slice at a time. */
const SLICES_PER_WINDOW = 10;

/**
 * Share of the budget that may be used. A window that ends after a burst contains fewer requests than
 * the ones that allowed the retries in it, so a margin is left.
 */
const USABLE_BUDGET_SHARE = 0.85;

/** Retry limits of all nodes together, from the platform settings. */
export interface RetryBudgetLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed in a window, by all nodes together. */
  readonly slack: number;
  readonly windowS: number;
}

interface Slice {
  readonly index: number;
  requests: number;
  retries: number;
}

/**
 * This node's share of a cluster-wide retry budget over a sliding window: a ratio of its own requests
 * plus an even share of the slack. The total stays within the limits without coordination.
 *
 * @example
 * const budget = SlidingWindowRetryBudget.create({ ratio: 0.2, slack: 58, windowS: 10 });
 * if (budget.tryTake(9, clock.nowMs())) await retryRequest();
 */
export class SlidingWindowRetryBudget {
  private readonly slices: Slice[] = [];

  private constructor(
    private readonly bounds: RetryBudgetLimits,
    private readonly slackFromMs: number,
  ) {}

  /**
   * @param predecessorEndMs clock reading up to which an earlier start of this process may have used the slack
   * of the window; undefined if there was none
   */
  static create(bounds: RetryBudgetLimits, predecessorEndMs?: number): SlidingWindowRetryBudget {
    const slackFromMs =
      predecessorEndMs === undefined
        ? Number.NEGATIVE_INFINITY
        : predecessorEndMs + bounds.windowS * MS_PER_SECOND;
    return new SlidingWindowRetryBudget(bounds, slackFromMs);
  }

  recordRequest(nowMs: number): void {
    this.getCurrentSlice(nowMs).requests += 1;
  }

  /** Returns whether one more retry is within this node's share of the budget. */
  hasRetry(nodes: number, nowMs: number): boolean {
    const { index } = this.getCurrentSlice(nowMs);
    let requests = 0;
    let retries = 0;
    for (const slice of this.slices) {
      // A window that ends within a slice also begins within one. Of that oldest slice the retries
      // count and the requests don't, which errs on the side of fewer retries.
      if (slice.index > index - SLICES_PER_WINDOW) requests += slice.requests;
      retries += slice.retries;
    }
    const slack = nowMs < this.slackFromMs ? 0 : this.bounds.slack / Math.max(1, nodes);
    return retries + 1 <= (requests * this.bounds.ratio + slack) * USABLE_BUDGET_SHARE;
  }

  /** Consumes one retry; returns false if it would exceed this node's share of the budget. */
  tryTake(nodes: number, nowMs: number): boolean {
    if (!this.hasRetry(nodes, nowMs)) return false;
    this.getCurrentSlice(nowMs).retries += 1;
    return true;
  }

  private getCurrentSlice(nowMs: number): Slice {
    const sliceMs = (this.bounds.windowS * MS_PER_SECOND) / SLICES_PER_WINDOW;
    const index = Math.floor(nowMs / sliceMs);
    while (this.slices.length > 0 && (this.slices[0]?.index ?? index) < index - SLICES_PER_WINDOW) {
      this.slices.shift();
    }
    const last = this.slices.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, retries: 0 };
    this.slices.push(created);
    return created;
  }
}
