import {
  type CallerError,
  type CallerErrorType,
  createNotRunError,
  createUnknownOutcomeError,
  getHttpStatus,
  MS_PER_SECOND,
} from '@lovagearch/common';
import type { CallerResponse } from './callerResponse.js';

/** An error response that the gateway sends itself, instead of forwarding one of an endpoint. */
export interface LocalReply {
  readonly status: number;
  readonly error: CallerError;
}

/** Creates a reply that guarantees that the request was not executed and never will be. */
export const createRefusal = (
  type: CallerErrorType,
  message: string,
  retryAfterMs?: number,
): LocalReply => ({
  status: getHttpStatus(type),
  error: createNotRunError(type, message, retryAfterMs),
});

/** Creates a reply for a request that may have run. Its status guarantees nothing about that. */
export const createFailure = (
  type: Extract<CallerErrorType, 'deadline_exceeded' | 'endpoint_failed' | 'outcome_unknown'>,
  message: string,
): LocalReply => ({ status: getHttpStatus(type), error: createUnknownOutcomeError(type, message) });

/** @param result what the response tells a peer if the request came through it, by default the type of the error */
export const sendLocalReply = (
  callerResponse: CallerResponse,
  requestId: string | undefined,
  requestIdHeader: string,
  { status, error }: LocalReply,
  result: string = error.type,
): void => {
  const headers = ['Content-Type', 'application/json'];
  if (requestId !== undefined) headers.push(requestIdHeader, requestId);
  if (error.retryAfterMs !== undefined) {
    headers.push('Retry-After', (error.retryAfterMs / MS_PER_SECOND).toFixed(2));
  }
  callerResponse.sendLocalReply(status, headers, Buffer.from(JSON.stringify({ error })), result);
};
