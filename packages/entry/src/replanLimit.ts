import { MAX_NO_RUNNER_REPLANS, MAX_SWAP_REPLANS } from './callerConstants.js';

/** Limits how often one request may be planned again. */
export class ReplanLimit {
  private swapReplans = 0;

  private noRunnerReplans = 0;

  /** Consumes one replan after a runner refused the weight version; false if none is left. */
  tryTakeSwapReplan(): boolean {
    this.swapReplans += 1;
    return this.swapReplans <= MAX_SWAP_REPLANS;
  }

  /** Consumes one replan after no runner was ready; false if none is left. */
  tryTakeNoRunnerReplan(): boolean {
    this.noRunnerReplans += 1;
    return this.noRunnerReplans <= MAX_NO_RUNNER_REPLANS;
  }
}
