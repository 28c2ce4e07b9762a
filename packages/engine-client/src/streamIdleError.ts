/** Error of a stream on which no byte arrived within the idle timeout. */
export class StreamIdleError extends Error {
  constructor(readonly idleMs: number) {
    super(`no byte received for ${Math.round(idleMs)} ms`);
  }
}
