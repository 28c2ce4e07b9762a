import { MAX_NO_RUNNER_PAUSES, MAX_REPLANS } from './callerConstants.js';

/** Limits how often one request may be planned again. */
export class ReplanLimit {
  private swaps = 0;

  private pauses = 0;

  /** Consumes one replan after a runner refused the weight version; false if none is left. */
  tryTakeSwap(): boolean {
    this.swaps += 1;
    return this.swaps <= MAX_REPLANS;
  }

  /** Consumes one replan after no runner was ready; false if none is left. */
  tryTakePause(): boolean {
    this.pauses += 1;
    return this.pauses <= MAX_NO_RUNNER_PAUSES;
  }
}
