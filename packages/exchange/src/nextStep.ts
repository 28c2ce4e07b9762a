/** What an attempt at an endpoint led to, as far as it decides what comes next. */
export type AttemptResult =
  /** A whole answer. `isFailure`: its status says that the endpoint failed. */
  | { readonly type: 'answered'; readonly isFailure: boolean }
  /** The endpoint certainly did not run the request and never will. */
  | { readonly type: 'not_run'; readonly wasReceived: boolean }
  /** The request may have run and there is no whole answer. */
  | { readonly type: 'broken' }
  /** The endpoint has been silent for longer than the caller can wait; the run was cancelled. */
  | { readonly type: 'stalled' };

export interface RetryInput {
  readonly result: AttemptResult;
  /** Whether the request may run more than once. */
  readonly isRetryable: boolean;
  /** Endpoints that may have run the request so far. */
  readonly possibleRuns: number;
  /** Endpoints that the request was sent to so far. */
  readonly sends: number;
  readonly maxPossibleRuns: number;
  readonly remainingMs: number;
  /** Expected time of another attempt. */
  readonly expectedMs: number;
  /** Whether another endpoint could take the request. */
  readonly hasAlternative: boolean;
  /** Whether the budget that all nodes share allows another send. */
  readonly hasRetryBudget: boolean;
  /** Whether events have been passed on to the caller. */
  readonly hasResponseStarted: boolean;
}

export type NextStep =
  | { readonly type: 'deliver' }
  | { readonly type: 'fail'; readonly reason: string }
  | { readonly type: 'refuse'; readonly reason: string }
  | { readonly type: 'retry'; readonly reason: string };

/** Sends of one request after rejections; more would load endpoints that are full. */
export const MAX_SENDS_PER_REQUEST = 3;

/** Returns why a request can't be sent once more, or undefined if it can. */
const findRetryBlocker = (input: RetryInput): string | undefined => {
  if (input.sends >= Math.max(MAX_SENDS_PER_REQUEST, input.maxPossibleRuns)) return 'sends used up';
  if (input.possibleRuns >= input.maxPossibleRuns) return 'attempts used up';
  if (input.remainingMs <= input.expectedMs) return 'time is short';
  if (!input.hasAlternative) return 'no other endpoint';
  if (!input.hasRetryBudget) return 'retry budget used up';
  return undefined;
};

/**
 * Decides what follows an attempt. A request that may have run is sent again only if it is repeatable;
 * "refuse" is only returned when it certainly has not run.
 *
 * @example
 * const step = decideNext(input);
 * if (step.type === 'retry') await sendElsewhere();
 */
export const decideNextStep = (input: RetryInput): NextStep => {
  const { result, isRetryable, possibleRuns, hasResponseStarted } = input;
  const retryBlocker = findRetryBlocker(input);
  switch (result.type) {
    case 'answered':
      if (result.isFailure && isRetryable && !hasResponseStarted && retryBlocker === undefined) {
        return { type: 'retry', reason: 'endpoint failed' };
      }
      return { type: 'deliver' };
    case 'not_run':
      if (retryBlocker === undefined) return { type: 'retry', reason: 'not run' };
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
