/** Runs an asynchronous function repeatedly, with a delay after each run, until stopped. */
export class PeriodicTask {
  private timer: NodeJS.Timeout | undefined;

  private currentRun: Promise<void> = Promise.resolve();

  private isStopped = false;

  private constructor(
    private readonly run: () => Promise<void>,
    private readonly getDelayMs: () => number,
  ) {}

  /** @param run must not reject */
  static start(run: () => Promise<void>, getDelayMs: () => number): PeriodicTask {
    const task = new PeriodicTask(run, getDelayMs);
    task.runOnce();
    return task;
  }

  /** Cancels further runs and waits for the current one to finish. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.currentRun;
  }

  private runOnce(): void {
    this.currentRun = this.run().then(() => {
      if (!this.isStopped) this.timer = setTimeout(() => this.runOnce(), this.getDelayMs());
    });
  }
}
