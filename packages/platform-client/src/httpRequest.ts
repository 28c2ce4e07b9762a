import { createBoundedAgent, createReceiveLimits, sendCall } from '@lovagearch/bounded-http';
import { getErrorMessage, isConnectError } from '@lovagearch/common';
import { ResultAsync } from 'neverthrow';
import type { Agent } from 'undici';
import { CONNECT_TIMEOUT_MS, MAX_CONNECTIONS_PER_ORIGIN, MAX_RESPONSE_BYTES } from './constants.js';

export interface HttpRequest {
  readonly method: 'DELETE' | 'GET' | 'PUT';
  readonly url: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array;
  readonly timeoutMs: number;
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** A failed request. `isSent` is false only if no byte of the request was sent. */
export interface HttpRequestFailure {
  readonly isSent: boolean;
  readonly message: string;
}

/** Creates the connection pool of one client, with limits on connections and response sizes. */
export const createAgent = (): Agent =>
  createBoundedAgent({
    connections: MAX_CONNECTIONS_PER_ORIGIN,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxResponseBytes: MAX_RESPONSE_BYTES,
  });

/** Shared by all clients of the platform in this process. */
const receiveLimits = createReceiveLimits();

const executeRequest = async (agent: Agent, httpRequest: HttpRequest): Promise<HttpResponse> => {
  const { method, url, headers = {}, body, timeoutMs } = httpRequest;
  const call = {
    url,
    method,
    headers,
    ...(body === undefined ? {} : { body }),
    maxResponseBytes: MAX_RESPONSE_BYTES,
    signal: AbortSignal.timeout(timeoutMs),
  };
  return sendCall(agent, call, receiveLimits);
};

/**
 * Sends one request and reads the complete response within the timeout. Requests are never retried.
 *
 * @example
 * const response = await sendHttpRequest(agent, { method: 'GET', url, timeoutMs: 2_000 });
 */
export const sendHttpRequest = (
  agent: Agent,
  call: HttpRequest,
): ResultAsync<HttpResponse, HttpRequestFailure> =>
  ResultAsync.fromPromise(executeRequest(agent, call), (error) => ({
    isSent: !isConnectError(error),
    message: getErrorMessage(error),
  }));

/** Parses UTF-8 encoded JSON; returns undefined if the bytes are not valid JSON. */
export const parseJson = (bytes: Buffer): unknown => {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
};
