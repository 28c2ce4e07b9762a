import { type CallerError, MS_PER_SECOND } from '@lovagearch/common';

export interface CallerErrorBody {
  readonly error: {
    readonly type: string;
    readonly message: string;
    readonly run: string;
    readonly request_id: string;
    readonly retry_after_ms?: number;
  };
}

/** Renders the error body that is sent to callers (design.md, section 5). */
export const renderErrorBody = (error: CallerError, requestId: string): CallerErrorBody => ({
  error: {
    type: error.type,
    message: error.message,
    run: error.run,
    request_id: requestId,
    ...(error.retryAfterMs === undefined ? {} : { retry_after_ms: error.retryAfterMs }),
  },
});

/** Renders the headers of an error response: `Retry-After` in whole seconds, rounded up. */
export const renderErrorHeaders = (error: CallerError): Record<string, string> =>
  error.retryAfterMs === undefined
    ? {}
    : { 'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_SECOND))) };
