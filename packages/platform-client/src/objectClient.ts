import { computeSha256Hex } from '@lovagearch/common';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import type { Agent } from 'undici';
import { OBJECT_TIMEOUT_MS } from './constants.js';
import { createAgent, type HttpResponse, sendHttpRequest } from './httpRequest.js';
import type { ObjectClient, ObjectError } from './types.js';

export interface ObjectClientOptions {
  readonly url: string;
  readonly timeoutMs?: number;
}

const createUnavailableError = (message: string): ObjectError => ({ type: 'unavailable', message });

const requireStatus =
  (expected: number) =>
  (response: HttpResponse): Result<HttpResponse, ObjectError> => {
    if (response.status === expected) return ok(response);
    if (response.status === 404) return err({ type: 'not_found' });
    return err(createUnavailableError(`the object store responded with status ${response.status}`));
  };

/**
 * HTTP client of the platform's object store. Callers may retry writes, because an object is either
 * named by its content or replaced as a whole.
 *
 * @example
 * const objects = HttpObjectClient.create({ url: 'http://127.0.0.1:9000' });
 * await objects.write('configuration/ab12', bytes);
 */
export class HttpObjectClient implements ObjectClient {
  private constructor(
    private readonly agent: Agent,
    private readonly options: Required<ObjectClientOptions>,
  ) {}

  static create(options: ObjectClientOptions): HttpObjectClient {
    return new HttpObjectClient(createAgent(), { timeoutMs: OBJECT_TIMEOUT_MS, ...options });
  }

  readonly read = (name: string): ResultAsync<Uint8Array, ObjectError> =>
    this.send('GET', name)
      .andThen(requireStatus(200))
      .andThen(({ headers, body }): Result<Uint8Array, ObjectError> =>
        headers['x-sha256'] === computeSha256Hex(body)
          ? ok(body)
          : err({ type: 'checksum_mismatch' }),
      );

  readonly write = (name: string, bytes: Uint8Array): ResultAsync<void, ObjectError> =>
    this.send('PUT', name, bytes)
      .andThen(requireStatus(201))
      .map(() => undefined);

  readonly remove = (name: string): ResultAsync<void, ObjectError> =>
    this.send('DELETE', name)
      .andThen(requireStatus(204))
      .map(() => undefined);

  readonly close = async (): Promise<void> => {
    await this.agent.destroy();
  };

  private send(
    method: 'DELETE' | 'GET' | 'PUT',
    name: string,
    bytes?: Uint8Array,
  ): ResultAsync<HttpResponse, ObjectError> {
    const { url, timeoutMs } = this.options;
    return sendHttpRequest(this.agent, {
      method,
      url: `${url}/v1/objects/${encodeURIComponent(name)}`,
      timeoutMs,
      ...(bytes === undefined
        ? {}
        : {
            body: bytes,
            headers: {
              'content-type': 'application/octet-stream',
              'x-sha256': computeSha256Hex(bytes),
            },
          }),
    }).mapErr(({ message }) => createUnavailableError(message));
  }
}
