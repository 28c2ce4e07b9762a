/** Error of a stream on which no byte arrived within the idle timeout. */
export class SilenceError extends Error {
  constructor(readonly silentMs: number) {
    super(`no byte received for ${Math.round(silentMs)} ms`);
  }
}
