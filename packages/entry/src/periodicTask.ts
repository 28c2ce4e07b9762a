import { getErrorMessage, type Logger } from '@lovagearch/common';

/**
 * Runs a task periodically without overlapping runs. If a run fails, the error is logged and the
 * next run follows as scheduled.
 */
export class PeriodicTask {
  private timer: NodeJS.Timeout | undefined;

  private currentRun: Promise<void> = Promise.resolve();

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
  ): PeriodicTask {
    const periodicTask = new PeriodicTask(task, getIntervalMs, log);
    periodicTask.currentRun = periodicTask.run();
    return periodicTask;
  }

  /** Prevents further runs and waits for the current one. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.currentRun;
  }

  private async run(): Promise<void> {
    try {
      await this.task();
    } catch (error) {
      this.log.error(`Periodic task failed: ${getErrorMessage(error)}.`);
    }
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      this.currentRun = this.run();
    }, this.getIntervalMs());
  }
}
