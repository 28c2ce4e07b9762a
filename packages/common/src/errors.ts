/**
 * Whether a failed request was executed: `not_run` guarantees that no endpoint received a byte of
 * it, `unknown` means that it may have been executed.
 */
export type RunState = 'not_run' | 'ran' | 'unknown';

/** Error types in responses to callers. The set is stable; docs/callers.md explains each. */
export type CallerErrorType =
  | 'account_limit'
  | 'bad_json'
  | 'bad_request'
  | 'body_too_large'
  | 'deadline_exceeded'
  | 'draining'
  | 'endpoint_failed'
  | 'endpoints_unreachable'
  | 'forbidden'
  | 'headers_too_large'
  | 'idempotency_key_required'
  | 'idempotency_key_reused'
  | 'no_allowed_region'
  | 'no_endpoint'
  | 'not_found'
  | 'not_ready'
  | 'outcome_unknown'
  | 'overloaded'
  | 'request_quarantined'
  | 'resume_invalid'
  | 'run_in_progress'
  | 'run_store_unavailable'
  | 'stream_lost'
  | 'unauthorized'
  | 'unknown_model';

/** A typed failure that a caller receives as JSON. */
export interface CallerError {
  readonly type: CallerErrorType;
  readonly message: string;
  readonly run: RunState;
  readonly retryAfterMs?: number;
}

/**
 * Creates an error for a request that reached no endpoint.
 *
 * @example
 * createNotRunError('overloaded', 'the queue of class standard is full', 2_000);
 */
export const createNotRunError = (
  type: CallerErrorType,
  message: string,
  retryAfterMs?: number,
): CallerError => ({
  type,
  message,
  run: 'not_run',
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});

/** Creates an error for a request that may have been executed. */
export const createUnknownOutcomeError = (type: CallerErrorType, message: string): CallerError => ({
  type,
  message,
  run: 'unknown',
});

const HTTP_STATUS_BY_TYPE: Readonly<Record<CallerErrorType, number>> = {
  account_limit: 429,
  bad_json: 400,
  bad_request: 400,
  body_too_large: 413,
  deadline_exceeded: 504,
  draining: 503,
  endpoint_failed: 502,
  endpoints_unreachable: 503,
  forbidden: 403,
  headers_too_large: 431,
  idempotency_key_required: 400,
  idempotency_key_reused: 422,
  no_allowed_region: 503,
  no_endpoint: 503,
  not_found: 404,
  not_ready: 503,
  outcome_unknown: 502,
  overloaded: 503,
  request_quarantined: 422,
  resume_invalid: 400,
  run_in_progress: 409,
  run_store_unavailable: 503,
  stream_lost: 502,
  unauthorized: 401,
  unknown_model: 404,
};

/** Returns the HTTP status code of an error type. */
export const getHttpStatus = (type: CallerErrorType): number => HTTP_STATUS_BY_TYPE[type];

/** Makes a switch exhaustive: the compiler rejects it if a variant of the union is not handled. */
export const assertNever = (value: never): never => {
  throw new TypeError(`unhandled variant: ${JSON.stringify(value)}`);
};

/** Returns the message of a thrown value of any type. */
export const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
