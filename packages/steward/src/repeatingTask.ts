/** Runs an asynchronous function repeatedly, with a delay after each run, until stopped. */
export class RepeatingTask {
  private timer: NodeJS.Timeout | undefined;

  private running: Promise<void> = Promise.resolve();

  private isStopped = false;

  private constructor(
    private readonly run: () => Promise<void>,
    private readonly getPauseMs: () => number,
  ) {}

  /** @param run must not reject */
  static start(run: () => Promise<void>, getPauseMs: () => number): RepeatingTask {
    const task = new RepeatingTask(run, getPauseMs);
    task.runOnce();
    return task;
  }

  /** Cancels further runs and waits for the current one to finish. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.running;
  }

  private runOnce(): void {
    this.running = this.run().then(() => {
      if (!this.isStopped) this.timer = setTimeout(() => this.runOnce(), this.getPauseMs());
    });
  }
}
