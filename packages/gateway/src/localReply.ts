import {
  type CallerError,
  type CallerErrorType,
  createNotRunError,
  createUnknownOutcomeError,
  getHttpStatus,
  MS_PER_SECOND,
} from '@lovagearch/common';
import type { CallerResponse } from './callerResponse.js';

/** An answer of this process in place of an endpoint's. */
export interface LocalReply {
  readonly status: number;
  readonly error: CallerError;
}

/** Creates an answer that promises that the request has not run and never will. */
export const createRefusal = (
  type: CallerErrorType,
  message: string,
  retryAfterMs?: number,
): LocalReply => ({
  status: getHttpStatus(type),
  error: createNotRunError(type, message, retryAfterMs),
});

/** Creates an answer to a request that may have run. Its status promises nothing. */
export const createFailure = (
  type: Extract<CallerErrorType, 'deadline_exceeded' | 'endpoint_failed' | 'outcome_unknown'>,
  message: string,
): LocalReply => ({ status: getHttpStatus(type), error: createUnknownOutcomeError(type, message) });

/** Sends an answer of this process to the caller. */
export const sendLocalReply = (
  callerResponse: CallerResponse,
  requestId: string | undefined,
  requestIdHeader: string,
  { status, error }: LocalReply,
): void => {
  const headers = ['Content-Type', 'application/json'];
  if (requestId !== undefined) headers.push(requestIdHeader, requestId);
  if (error.retryAfterMs !== undefined) {
    headers.push('Retry-After', (error.retryAfterMs / MS_PER_SECOND).toFixed(2));
  }
  callerResponse.sendLocalReply(status, headers, Buffer.from(JSON.stringify({ error })));
};
