import { MAX_NO_RUNNER_PAUSES, MAX_REPLANS } from './callerConstants.js';

/** Bounds how often one request is planned again. */
export class ReplanLimit {
  private swaps = 0;

  private pauses = 0;

  /** Takes one plan after a refused weight version. */
  tryTakeSwap(): boolean {
    this.swaps += 1;
    return this.swaps <= MAX_REPLANS;
  }

  /** Takes one pause after no runner was ready. */
  tryTakePause(): boolean {
    this.pauses += 1;
    return this.pauses <= MAX_NO_RUNNER_PAUSES;
  }
}
