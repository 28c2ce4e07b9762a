/**
 * Runs one call for all that need a result as of a time after they asked: a call that has started already may have read
 * an older state, so that they wait for the next one.
 *
 * @example
 * const read = JoinedCall.create(() => readTables());
 * const [first, second] = await Promise.all([read.run(), read.run()]);
 */
export class JoinedCall<Result> {
  private current: Promise<Result> | undefined;

  private next: Promise<Result> | undefined;

  private constructor(private readonly call: () => Promise<Result>) {}

  /** @param call never rejects */
  static create<Result>(call: () => Promise<Result>): JoinedCall<Result> {
    return new JoinedCall(call);
  }

  run(): Promise<Result> {
    if (this.current === undefined) return this.start();
    this.next ??= this.current.then(() => {
      this.next = undefined;
      return this.start();
    });
    return this.next;
  }

  private start(): Promise<Result> {
    const started = this.call().finally(() => {
      if (this.current === started) this.current = undefined;
    });
    this.current = started;
    return started;
  }
}
