import type { Logger } from '@lovagearch/common';
import { DRAIN_IDLE_MS } from './callerConstants.js';

interface IdleWaiter {
  readonly limitTimer: NodeJS.Timeout;
  idleTimer: NodeJS.Timeout | undefined;
  readonly resolve: (isIdle: boolean) => void;
}

/**
 * Counts running requests and drains the node: the readiness check fails, running requests may finish,
 * and the drain ends after a time limit (docs/design.md, section 4.9).
 */
export class DrainController {
  private runningCount = 0;

  private hasStarted = false;

  private idleWaiter: IdleWaiter | undefined;

  private constructor(
    private readonly log: Logger,
    private readonly idleMs: number,
  ) {}

  /** @param idleMs time without running requests after which the load balancer sends no more */
  static create(log: Logger, idleMs: number = DRAIN_IDLE_MS): DrainController {
    return new DrainController(log, idleMs);
  }

  get isDraining(): boolean {
    return this.hasStarted;
  }

  get runningRequests(): number {
    return this.runningCount;
  }

  /** Counts a request as running until the returned function is called, which is idempotent. */
  recordRequest(): () => void {
    this.runningCount += 1;
    clearTimeout(this.idleWaiter?.idleTimer);
    let isRunning = true;
    return () => {
      if (!isRunning) return;
      isRunning = false;
      this.runningCount -= 1;
      this.restartIdleTimer();
    };
  }

  /** Makes the readiness check fail, and responses from now on close their connections. */
  start(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    this.log.info(`Drain started with ${this.runningCount} running requests.`);
  }

  /**
   * Waits until no request has been running for the idle time, or until the limit has passed. New
   * requests are still served, since the load balancer notices the drain with a delay.
   *
   * @returns whether all requests have finished
   */
  async waitUntilIdle(limitMs: number): Promise<boolean> {
    return new Promise<boolean>((resolve) => {
      const limitTimer = setTimeout(() => {
        const isIdle = this.runningCount === 0;
        if (!isIdle) {
          this.log.warn(`Drain limit reached; interrupting ${this.runningCount} running requests.`);
        }
        this.resolveWaiter(isIdle);
      }, limitMs);
      this.idleWaiter = { limitTimer, idleTimer: undefined, resolve };
      this.restartIdleTimer();
    });
  }

  private restartIdleTimer(): void {
    if (this.idleWaiter === undefined || this.runningCount > 0) return;
    clearTimeout(this.idleWaiter.idleTimer);
    this.idleWaiter.idleTimer = setTimeout(() => this.resolveWaiter(true), this.idleMs);
  }

  private resolveWaiter(isIdle: boolean): void {
    const { idleWaiter: waiter } = this;
    if (waiter === undefined) return;
    this.idleWaiter = undefined;
    clearTimeout(waiter.limitTimer);
    clearTimeout(waiter.idleTimer);
    waiter.resolve(isIdle);
  }
}
