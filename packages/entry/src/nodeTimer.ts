import { getErrorMessage, type Logger } from '@lovagearch/common';

/**
 * Runs a task periodically without overlapping runs. If a run fails, the error is logged and the
 * next run follows as scheduled.
 */
export class NodeTimer {
  private timer: NodeJS.Timeout | undefined;

  private running: Promise<void> = Promise.resolve();

  private isStopped = false;

  private constructor(
    private readonly task: () => Promise<void> | void,
    private readonly getIntervalMs: () => number,
    private readonly log: Logger,
  ) {}

  /** Starts the first run immediately. */
  static start(
    task: () => Promise<void> | void,
    getIntervalMs: () => number,
    log: Logger,
  ): NodeTimer {
    const timer = new NodeTimer(task, getIntervalMs, log);
    timer.running = timer.run();
    return timer;
  }

  /** Prevents further runs and waits for the current one. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.running;
  }

  private async run(): Promise<void> {
    try {
      await this.task();
    } catch (error) {
      this.log.error(`Periodic task failed: ${getErrorMessage(error)}.`);
    }
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      this.running = this.run();
    }, this.getIntervalMs());
  }
}
