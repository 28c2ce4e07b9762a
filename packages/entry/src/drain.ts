import type { Logger } from '@lovagearch/common';
import { DRAIN_QUIET_MS } from './callerConstants.js';

interface IdleWaiter {
  readonly limitTimer: NodeJS.Timeout;
  quietTimer: NodeJS.Timeout | undefined;
  readonly resolve: (isIdle: boolean) => void;
}

/**
 * Counts running requests and drains the node: the readiness check fails, running requests may finish,
 * and the drain ends after a time limit (docs/design.md, section 4.9).
 */
export class Drain {
  private running = 0;

  private draining = false;

  private waiter: IdleWaiter | undefined;

  private constructor(
    private readonly log: Logger,
    private readonly quietMs: number,
  ) {}

  /** @param quietMs time without running requests after which the load balancer sends no more */
  static create(log: Logger, quietMs: number = DRAIN_QUIET_MS): Drain {
    return new Drain(log, quietMs);
  }

  get isDraining(): boolean {
    return this.draining;
  }

  get runningRequests(): number {
    return this.running;
  }

  /** Counts a request as running until the returned function is called, which is idempotent. */
  recordRequest(): () => void {
    this.running += 1;
    clearTimeout(this.waiter?.quietTimer);
    let isRunning = true;
    return () => {
      if (!isRunning) return;
      isRunning = false;
      this.running -= 1;
      this.scheduleIdle();
    };
  }

  /** Makes the readiness check fail, and responses from now on close their connections. */
  start(): void {
    if (this.draining) return;
    this.draining = true;
    this.log.info(`Drain started with ${this.running} running requests.`);
  }

  /**
   * Waits until no request has been running for the idle time, or until the limit has passed. New
   * requests are still served, since the load balancer notices the drain with a delay.
   *
   * @returns whether all requests have finished
   */
  async waitIdle(limitMs: number): Promise<boolean> {
    return new Promise<boolean>((resolve) => {
      const limitTimer = setTimeout(() => {
        const isIdle = this.running === 0;
        if (!isIdle) {
          this.log.warn(`Drain limit reached; interrupting ${this.running} running requests.`);
        }
        this.finishWait(isIdle);
      }, limitMs);
      this.waiter = { limitTimer, quietTimer: undefined, resolve };
      this.scheduleIdle();
    });
  }

  private scheduleIdle(): void {
    if (this.waiter === undefined || this.running > 0) return;
    clearTimeout(this.waiter.quietTimer);
    this.waiter.quietTimer = setTimeout(() => this.finishWait(true), this.quietMs);
  }

  private finishWait(isIdle: boolean): void {
    const { waiter } = this;
    if (waiter === undefined) return;
    this.waiter = undefined;
    clearTimeout(waiter.limitTimer);
    clearTimeout(waiter.quietTimer);
    waiter.resolve(isIdle);
  }
}
