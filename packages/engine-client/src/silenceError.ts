/** Ends the reading of a body that sent no byte for too long. */
export class SilenceError extends Error {
  constructor(readonly silentMs: number) {
    super(`no byte for ${Math.round(silentMs)} ms`);
  }
}
