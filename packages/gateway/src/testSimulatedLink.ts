import type { SimulatedTime } from '@lovagearch/common';

/** A link that sends one packet after another; the transfers on it take turns. */
export class SimulatedLink {
  private busyUntilMs = 0;

  sentBytes = 0;

  private constructor(
    private readonly time: SimulatedTime,
    private readonly bytesPerMs: number,
  ) {}

  static create(time: SimulatedTime, bytesPerMs: number): SimulatedLink {
    return new SimulatedLink(time, bytesPerMs);
  }

  async sendPacket(bytes: number): Promise<void> {
    this.sentBytes += bytes;
    this.busyUntilMs = Math.max(this.busyUntilMs, this.time.nowMs()) + bytes / this.bytesPerMs;
    await this.time.wait(this.busyUntilMs - this.time.nowMs());
  }
}
