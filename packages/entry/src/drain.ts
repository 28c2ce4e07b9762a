import type { Logger } from '@lovagearch/common';
import { DRAIN_QUIET_MS } from './callerConstants.js';

interface IdleWaiter {
  readonly limitTimer: NodeJS.Timeout;
  quietTimer: NodeJS.Timeout | undefined;
  readonly resolve: (isIdle: boolean) => void;
}

/**
 * Whether this node takes requests, and how many run. A drain makes the readiness check fail, lets
 * running requests finish, and ends after a limit (design 4.9).
 */
export class Drain {
  private running = 0;

  private draining = false;

  private waiter: IdleWaiter | undefined;

  private constructor(
    private readonly log: Logger,
    private readonly quietMs: number,
  ) {}

  /** @param quietMs time without a request after which the load balancer sends no more */
  static create(log: Logger, quietMs: number = DRAIN_QUIET_MS): Drain {
    return new Drain(log, quietMs);
  }

  get isDraining(): boolean {
    return this.draining;
  }

  get runningRequests(): number {
    return this.running;
  }

  /** Counts a request until the returned function is called; calling it again has no effect. */
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

  /** Makes the readiness check fail and new answers close their connections. */
  start(): void {
    if (this.draining) return;
    this.draining = true;
    this.log.info(`Draining: ${this.running} requests are running.`);
  }

  /**
   * Waits until no request has run for the quiet time, or the limit has passed. New requests are
   * served meanwhile, since the load balancer learns of the drain with a delay.
   *
   * @returns whether all requests finished
   */
  async waitIdle(limitMs: number): Promise<boolean> {
    return new Promise<boolean>((resolve) => {
      const limitTimer = setTimeout(() => {
        const isIdle = this.running === 0;
        if (!isIdle) {
          this.log.warn(`The drain limit has passed; ${this.running} requests are interrupted.`);
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
