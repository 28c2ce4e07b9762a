import { getErrorMessage, type Logger } from '@lovagearch/common';

/**
 * Runs a task again and again, never twice at the same time; an error is logged and the next run
 * follows as usual.
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

  /** Starts with a first run at once. */
  static start(
    task: () => Promise<void> | void,
    getIntervalMs: () => number,
    log: Logger,
  ): NodeTimer {
    const timer = new NodeTimer(task, getIntervalMs, log);
    timer.running = timer.run();
    return timer;
  }

  /** Starts no further run and waits for the present one. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.running;
  }

  private async run(): Promise<void> {
    try {
      await this.task();
    } catch (error) {
      this.log.error(`A regular task failed: ${getErrorMessage(error)}.`);
    }
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      this.running = this.run();
    }, this.getIntervalMs());
  }
}
