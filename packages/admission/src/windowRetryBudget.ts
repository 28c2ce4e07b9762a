import { MS_PER_SECOND } from '@lovagearch/common';

/** Slices into which the window is cut; the budget forgets one slice at a time. */
const SLICES = 10;

/**
 * Part of the budget that is used. A window that ends after a burst holds fewer requests than the
 * repeats in it were based on.
 */
const USED_SHARE = 0.85;

/** The budget that all nodes share, as the deployment states it. */
export interface WindowBudgetBounds {
  /** Repeated sends allowed for each request. */
  readonly ratio: number;
  /** Repeated sends allowed beside, by all nodes together. */
  readonly slack: number;
  readonly windowS: number;
}

interface Slice {
  readonly index: number;
  requests: number;
  repeats: number;
}

/**
 * This node's part of a budget of repeated sends in a sliding window: the ratio of its own requests
 * and an even part of the slack. Nodes don't have to talk for the sum to hold.
 *
 * @example
 * const budget = WindowRetryBudget.create({ ratio: 0.2, slack: 58, windowS: 10 });
 * if (budget.tryTake(9, clock.nowMs())) await sendAgain();
 */
export class WindowRetryBudget {
  private readonly slices: Slice[] = [];

  private constructor(private readonly bounds: WindowBudgetBounds) {}

  static create(bounds: WindowBudgetBounds): WindowRetryBudget {
    return new WindowRetryBudget(bounds);
  }

  recordRequest(nowMs: number): void {
    this.getSlice(nowMs).requests += 1;
  }

  /** Tells whether a repeated send is within this node's part. */
  hasRepeat(nodes: number, nowMs: number): boolean {
    const { index } = this.getSlice(nowMs);
    let requests = 0;
    let repeats = 0;
    for (const slice of this.slices) {
      // A window that ends inside a slice also begins inside one: its repeats count, its requests don't.
      if (slice.index > index - SLICES) requests += slice.requests;
      repeats += slice.repeats;
    }
    const slack = this.bounds.slack / Math.max(1, nodes);
    return repeats + 1 <= (requests * this.bounds.ratio + slack) * USED_SHARE;
  }

  /** Takes a repeated send if it is within this node's part. */
  tryTake(nodes: number, nowMs: number): boolean {
    if (!this.hasRepeat(nodes, nowMs)) return false;
    this.getSlice(nowMs).repeats += 1;
    return true;
  }

  private getSlice(nowMs: number): Slice {
    const sliceMs = (this.bounds.windowS * MS_PER_SECOND) / SLICES;
    const index = Math.floor(nowMs / sliceMs);
    while (this.slices.length > 0 && (this.slices[0]?.index ?? index) < index - SLICES) {
      this.slices.shift();
    }
    const last = this.slices.at(-1);
    if (last?.index === index) return last;
    const created = { index, requests: 0, repeats: 0 };
    this.slices.push(created);
    return created;
  }
}
