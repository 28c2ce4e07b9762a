import { MS_PER_SECOND } from '@lovagearch/common';

/** Request class, for the use of the link between regions. */
export type LinkClass = 'background' | 'interactive' | 'standard';

/** Share of the budget that has to remain after a class uses the link. */
const RESERVED_SHARE: Readonly<Record<LinkClass, number>> = {
  interactive: 0,
  standard: 0.25,
  background: 0.5,
};
/** Maximum accumulated budget, in seconds of the byte rate. */
const BURST_SECONDS = 2;

/**
 * Rate limit for one node's traffic on the link between regions. As the budget runs out, lower classes
 * are refused first.
 *
 * @example
 * const budget = LinkBudget.create(200_000, clock.nowMs());
 * budget.hasRoom('standard', 20_000, clock.nowMs());
 */
export class LinkBudget {
  private constructor(
    private readonly bytesPerSecond: number,
    private availableBytes: number,
    private updatedAtMs: number,
  ) {}

  /** @param bytesPerSecond this node's share of the link */
  static create(bytesPerSecond: number, nowMs: number): LinkBudget {
    return new LinkBudget(bytesPerSecond, bytesPerSecond * BURST_SECONDS, nowMs);
  }

  /** Returns whether a class may send this many bytes now. */
  hasRoom(linkClass: LinkClass, bytes: number, nowMs: number): boolean {
    this.refill(nowMs);
    const reservedBytes = RESERVED_SHARE[linkClass] * this.bytesPerSecond * BURST_SECONDS;
    return this.availableBytes - bytes >= reservedBytes;
  }

  /** Deducts bytes that were or will be sent; the budget may become negative. */
  take(bytes: number, nowMs: number): void {
    this.refill(nowMs);
    this.availableBytes -= bytes;
  }

  private refill(nowMs: number): void {
    const earnedBytes = ((nowMs - this.updatedAtMs) * this.bytesPerSecond) / MS_PER_SECOND;
    const limitBytes = this.bytesPerSecond * BURST_SECONDS;
    this.availableBytes = Math.min(limitBytes, this.availableBytes + earnedBytes);
    this.updatedAtMs = nowMs;
  }
}
