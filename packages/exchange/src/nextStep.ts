/** Result of an attempt, reduced to what the retry decision depends on. */
export type AttemptResult =
  /** A complete response. `isFailure`: its status reports a failure of the endpoint. */
  | { readonly type: 'answered'; readonly isFailure: boolean }
  /** The request was not executed and never will be. */
  | { readonly type: 'not_run'; readonly wasReceived: boolean }
  /** The request may have been executed, but no complete response was received. */
  | { readonly type: 'broken' }
  /** The endpoint sent nothing within the stall timeout; the request was cancelled. */
  | { readonly type: 'stalled' };

export interface RetryInput {
  readonly result: AttemptResult;
  /** Whether the request can safely be executed more than once. */
  readonly isRetryable: boolean;
  /** Number of endpoints that may have executed the request so far. */
  readonly possibleRuns: number;
  /** Number of endpoints that the request was sent to so far. */
  readonly sends: number;
  readonly maxPossibleRuns: number;
  readonly remainingMs: number;
  /** Expected duration of another attempt. */
  readonly expectedMs: number;
  /** Whether another endpoint could take the request. */
  readonly hasAlternative: boolean;
  /** Whether the retry budget shared by all nodes allows another send. */
  readonly hasRetryBudget: boolean;
  /** Whether part of a response has already been sent to the caller. */
  readonly hasResponseStarted: boolean;
}

export type NextStep =
  | { readonly type: 'deliver' }
  | { readonly type: 'fail'; readonly reason: string }
  | { readonly type: 'refuse'; readonly reason: string }
  | { readonly type: 'retry'; readonly reason: string };

/**
 * Maximum number of times that a request is sent when endpoints reject it; more would add load to
 * endpoints that are at capacity.
 */
export const MAX_SENDS_PER_REQUEST = 3;

/** Returns why a request can't be sent again, or undefined if it can. */
const findRetryBlocker = (input: RetryInput): string | undefined => {
  if (input.sends >= Math.max(MAX_SENDS_PER_REQUEST, input.maxPossibleRuns)) return 'sends used up';
  if (input.possibleRuns >= input.maxPossibleRuns) return 'attempts used up';
  if (input.remainingMs <= input.expectedMs) return 'time is short';
  if (!input.hasAlternative) return 'no other endpoint';
  if (!input.hasRetryBudget) return 'retry budget used up';
  return undefined;
};

/**
 * Decides what to do after an attempt. A request that may have been executed is retried only if it is
 * retryable.
 * `refuse` is returned only if the request was not executed. `deliver` is returned only for a complete
 * response of which the caller has received nothing yet.
 *
 * @example
 * const step = decideNextStep(input);
 * if (step.type === 'retry') await sendElsewhere();
 */
export const decideNextStep = (input: RetryInput): NextStep => {
  const { result, isRetryable, possibleRuns, hasResponseStarted } = input;
  const retryBlocker = findRetryBlocker(input);
  switch (result.type) {
    case 'answered':
      // A caller would read the response as a part of the one that has begun.
      if (hasResponseStarted) {
        if (isRetryable && retryBlocker === undefined)
          return { type: 'retry', reason: 'response does not continue the stream' };
        return { type: 'fail', reason: 'response does not continue the stream' };
      }
      if (result.isFailure && isRetryable && retryBlocker === undefined) {
        return { type: 'retry', reason: 'endpoint failed' };
      }
      return { type: 'deliver' };
    case 'not_run':
      if (retryBlocker === undefined) return { type: 'retry', reason: 'request was not executed' };
      return possibleRuns === 0 && !hasResponseStarted
        ? { type: 'refuse', reason: retryBlocker }
        : { type: 'fail', reason: retryBlocker };
    case 'broken':
    case 'stalled':
      if (!isRetryable) return { type: 'fail', reason: 'may have run' };
      if (retryBlocker !== undefined) return { type: 'fail', reason: retryBlocker };
      return { type: 'retry', reason: result.type };
    default:
      return result satisfies never;
  }
};
