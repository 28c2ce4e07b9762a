import { getErrorMessage, isConnectError } from '@lovagearch/common';
import { ResultAsync } from 'neverthrow';
import { Agent, request } from 'undici';
import { CONNECT_TIMEOUT_MS, MAX_CONNECTIONS, MAX_RESPONSE_BYTES } from './constants.js';

export interface HttpCall {
  readonly method: 'DELETE' | 'GET' | 'PUT';
  readonly url: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array;
  readonly timeoutMs: number;
}

export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** A failed request. `isSent` is false only if no byte of the request was sent. */
export interface HttpFailure {
  readonly isSent: boolean;
  readonly message: string;
}

/** Creates the connection pool of one client, with limits on connections and response sizes. */
export const createAgent = (): Agent =>
  new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

const runCall = async (agent: Agent, call: HttpCall): Promise<HttpAnswer> => {
  const response = await request(call.url, {
    dispatcher: agent,
    method: call.method,
    headers: call.headers ?? {},
    body: call.body ?? null,
    signal: AbortSignal.timeout(call.timeoutMs),
  });
  const body = Buffer.from(await response.body.arrayBuffer());
  return { status: response.statusCode, headers: response.headers, body };
};

/**
 * Sends one request and reads the complete response within the timeout. Requests are never retried.
 *
 * @example
 * const response = await sendHttpRequest(agent, { method: 'GET', url, timeoutMs: 2_000 });
 */
export const sendCall = (agent: Agent, call: HttpCall): ResultAsync<HttpAnswer, HttpFailure> =>
  ResultAsync.fromPromise(runCall(agent, call), (error) => ({
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
