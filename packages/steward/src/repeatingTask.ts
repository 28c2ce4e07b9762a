/** Runs a task again and again, with a pause after each run, until it is stopped. */
export class RepeatingTask {
  private timer: NodeJS.Timeout | undefined;

  private running: Promise<void> = Promise.resolve();

  private isStopped = false;

  private constructor(
    private readonly run: () => Promise<void>,
    private readonly getPauseMs: () => number,
  ) {}

  /** @param run never rejects */
  static start(run: () => Promise<void>, getPauseMs: () => number): RepeatingTask {
    const task = new RepeatingTask(run, getPauseMs);
    task.runOnce();
    return task;
  }

  /** Stops and waits for the run in progress. */
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
