const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Called for each signal; `isRepeated` is set from the second call of the same handler on. */
type TerminationHandler = (isRepeated: boolean) => void;

/**
 * The signals that ask a process to stop. They are handled from the creation to the end of the process, since the
 * default action of one that arrives during a stop would cut off what the stop waits for.
 *
 * @example
 * const signals = TerminationSignals.create(() => process.exit(0));
 * const node = await startNode();
 * signals.setHandler((isRepeated) => {
 *   if (!isRepeated) void node.stop();
 * });
 */
export class TerminationSignals {
  private hasCalledHandler = false;

  private constructor(private handler: TerminationHandler) {
    for (const signal of SIGNALS) process.on(signal, () => this.callHandler());
  }

  /** @param handler called until another one is set */
  static create(handler: TerminationHandler): TerminationSignals {
    return new TerminationSignals(handler);
  }

  /** Replaces the handler; its first call is not a repeated one. */
  setHandler(handler: TerminationHandler): void {
    this.handler = handler;
    this.hasCalledHandler = false;
  }

  private callHandler(): void {
    const isRepeated = this.hasCalledHandler;
    this.hasCalledHandler = true;
    this.handler(isRepeated);
  }
}
