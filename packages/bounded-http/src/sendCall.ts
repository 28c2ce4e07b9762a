import type { Dispatcher } from 'undici';
import { BodyBuffer } from './bodyBuffer.js';
import { NoMemoryError } from './noMemoryError.js';
import { PacedReader } from './pacedReader.js';
import type { ReceiveLimits } from './receiveLimits.js';
import { ResponseTooLargeError } from './responseTooLargeError.js';

export interface Call {
  readonly url: string;
  readonly method: Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Whether the connection is closed after the response. */
  readonly closesConnection?: boolean;
  /** Limit of the body of the response, in bytes. */
  readonly maxResponseBytes: number;
  /** Ends the call, with the reason as its error. */
  readonly signal: AbortSignal;
  readonly onHead?: () => void;
  /** Called with the number of bytes of each part of the body. */
  readonly onBytes?: (bytes: number) => void;
}

export interface CallResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

const createSizeError = (result: 'no_memory' | 'too_large', maxBytes: number): Error =>
  result === 'too_large'
    ? new ResponseTooLargeError(`the response exceeds ${maxBytes} bytes`)
    : new NoMemoryError('the memory for responses is in use');

/** Code of the HTTP client's error for a response that exceeds the limit of its connections. */
const TOO_LARGE_CODE = 'UND_ERR_RES_EXCEEDED_MAX_SIZE';

const isTooLarge = (error: Error): boolean => 'code' in error && error.code === TOO_LARGE_CODE;

const toError = (reason: unknown): Error =>
  reason instanceof Error ? reason : new Error(String(reason));

/**
 * Sends one request and returns the complete response. It is sent once; a response that ends early is an error.
 *
 * @throws {ResponseTooLargeError} the body exceeds `maxResponseBytes`
 * @throws {NoMemoryError} the memory of the process for bodies is in use
 * @throws errors of the HTTP client, and the reason of the signal
 * @example
 * const call = { url: 'http://10.1.2.3:8080/v1/status', method: 'GET', maxResponseBytes: 65_536, signal } as const;
 * const { status, body } = await sendCall(agent, call, limits);
 */
export const sendCall = (
  dispatcher: Dispatcher,
  call: Call,
  limits: ReceiveLimits,
): Promise<CallResponse> =>
  new Promise((resolve, reject) => {
    const { signal, maxResponseBytes } = call;
    const buffer = BodyBuffer.create(maxResponseBytes, limits.memory);
    let controller: Dispatcher.DispatchController | undefined;
    let head: Omit<CallResponse, 'body'> | undefined;
    let isSettled = false;
    const reader = PacedReader.create(limits.pacer, {
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    });
    const settle = (): boolean => {
      if (isSettled) return false;
      isSettled = true;
      reader.finish();
      return true;
    };
    const fail = (error: Error) => {
      if (!settle()) return;
      buffer.release();
      reject(error);
      controller?.abort(error);
    };
    const abort = () => fail(toError(signal.reason));
    if (signal.aborted) {
      abort();
      return;
    }
    signal.addEventListener('abort', abort, { once: true });
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (startController) => {
        // The HTTP client sends some requests again; the server may have received the first one.
        const isRepeated = controller !== undefined && call.method !== 'GET';
        controller = startController;
        buffer.release();
        if (isSettled) startController.abort(new Error('the call has ended'));
        else if (isRepeated) fail(new Error('the connection was closed before the response'));
      },
      onResponseStart: (_controller, status, headers) => {
        reader.recordChunks(1);
        if (status < 200) return;
        head = { status, headers };
        call.onHead?.();
      },
      onResponseData: (_controller, chunk) => {
        if (isSettled) return;
        const result = buffer.add(chunk);
        if (result !== 'added') {
          fail(createSizeError(result, maxResponseBytes));
          return;
        }
        call.onBytes?.(chunk.length);
        reader.recordChunks(1);
      },
      onResponseEnd: () => {
        signal.removeEventListener('abort', abort);
        if (!settle()) return;
        if (head === undefined) reject(new Error('the response has no head'));
        else resolve({ ...head, body: buffer.getBytes() });
        buffer.release();
      },
      onResponseError: (_controller, error) => {
        signal.removeEventListener('abort', abort);
        fail(isTooLarge(error) ? createSizeError('too_large', maxResponseBytes) : error);
      },
    };
    const { origin, pathname, search } = new URL(call.url);
    dispatcher.dispatch(
      {
        origin,
        path: `${pathname}${search}`,
        method: call.method,
        headers: call.headers ?? {},
        body: call.body ?? null,
        reset: call.closesConnection === true,
      },
      handler,
    );
  });
