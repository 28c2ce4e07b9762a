import { MS_PER_SECOND, processClock } from '@lovagearch/common';

/**
 * One direction of a link with delay and bandwidth, shared by all connections that cross it. It
 * counts the bytes, for the measure of link use.
 *
 * @example
 * const north = LinkDirection.create({ delayMs: 8, bytesPerSecond: 2_500_000 });
 */
export class LinkDirection {
  private freeAtMs = 0;

  private sentBytes = 0;

  /** Deliveries in order; one timer serves them all, since separate timers may fire out of order. */
  private readonly pending: { readonly dueMs: number; readonly deliver: () => void }[] = [];

  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly delayMs: number,
    private bytesPerSecond: number,
  ) {}

  static create(options: {
    readonly delayMs: number;
    readonly bytesPerSecond: number;
  }): LinkDirection {
    return new LinkDirection(options.delayMs, options.bytesPerSecond);
  }

  get totalBytes(): number {
    return this.sentBytes;
  }

  /** Changes the bandwidth, to narrow the link during a run. */
  setBandwidth(bytesPerSecond: number): void {
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Calls `deliver` once the bytes have crossed the link. */
  send(bytes: number, deliver: () => void): void {
    const nowMs = processClock.nowMs();
    this.sentBytes += bytes;
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + (bytes * MS_PER_SECOND) / this.bytesPerSecond;
    this.pending.push({ dueMs: this.freeAtMs + this.delayMs, deliver });
    this.scheduleDelivery();
  }

  /** Returns the time until everything sent so far has arrived, in milliseconds. */
  getBacklogMs(): number {
    return Math.max(0, this.freeAtMs - processClock.nowMs()) + this.delayMs + 1;
  }

  private scheduleDelivery(): void {
    const [next] = this.pending;
    if (next === undefined || this.timer !== undefined) return;
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.deliverDue();
        this.scheduleDelivery();
      },
      Math.max(0, next.dueMs - processClock.nowMs()),
    );
  }

  private deliverDue(): void {
    const nowMs = processClock.nowMs();
    while (this.pending[0] !== undefined && this.pending[0].dueMs <= nowMs + 0.5) {
      this.pending.shift()?.deliver();
    }
  }
}
