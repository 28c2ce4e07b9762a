import { MS_PER_SECOND } from '@lovagearch/common';

/** Slices into which the window is cut; the budget forgets one slice at a time. */
const SLICES_PER_WINDOW = 10;

/**
 * Part of the budget that is used. A window that ends after a burst holds fewer requests than the
 * repeats in it were based on.
 */
const USABLE_BUDGET_SHARE = 0.85;

/** The budget that all nodes share, as the deployment states it. */
export interface RetryBudgetLimits {
  /** Repeated sends allowed for each request. */
  readonly ratio: number;
  /** Repeated sends allowed beside, by all nodes together. */
  readonly slack: number;
  readonly windowS: number;
}

interface Slice {
  readonly index: number;
  requests: number;
  retries: number;
}

/**
 * This node's part of a budget of repeated sends in a sliding window: the ratio of its own requests
 * and an even part of the slack. Nodes don't have to talk for the sum to hold.
 *
 * @example
 * const budget = WindowRetryBudget.create({ ratio: 0.2, slack: 58, windowS: 10 });
 * if (budget.tryTake(9, clock.nowMs())) await sendAgain();
 */
export class SlidingWindowRetryBudget {
  private readonly slices: Slice[] = [];

  private constructor(private readonly bounds: RetryBudgetLimits) {}

  static create(bounds: RetryBudgetLimits): SlidingWindowRetryBudget {
    return new SlidingWindowRetryBudget(bounds);
  }

  recordRequest(nowMs: number): void {
    this.getCurrentSlice(nowMs).requests += 1;
  }

  /** Tells whether a repeated send is within this node's part. */
  hasRetry(nodes: number, nowMs: number): boolean {
    const { index } = this.getCurrentSlice(nowMs);
    let requests = 0;
    let repeats = 0;
    for (const slice of this.slices) {
      // A window that ends inside a slice also begins inside one: its repeats count, its requests don't.
      if (slice.index > index - SLICES_PER_WINDOW) requests += slice.requests;
      repeats += slice.retries;
    }
    const slack = this.bounds.slack / Math.max(1, nodes);
    return repeats + 1 <= (requests * this.bounds.ratio + slack) * USABLE_BUDGET_SHARE;
  }

  /** Takes a repeated send if it is within this node's part. */
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
