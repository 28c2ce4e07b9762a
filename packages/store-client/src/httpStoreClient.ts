import { getErrorMessage } from '@lovagearch/common';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { Agent, request } from 'undici';
import { z } from 'zod';
import {
  CONNECT_TIMEOUT_MS,
  LIST_PAGE_SIZE,
  MAX_CONNECTIONS_PER_STORE,
  MAX_RESPONSE_BYTES,
  REQUEST_TIMEOUT_MS,
} from './constants.js';
import {
  type StoreClient,
  type StoredSegment,
  storedSegmentSchema,
  type StoreError,
  type StoreStatus,
  storeStatusSchema,
} from './types.js';

const pageSchema = z.object({
  segments: z.array(storedSegmentSchema),
  next: z.string().nullable(),
});

interface StoreResponse {
  readonly status: number;
  readonly text: string;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

const createResponseParser =
  <Value>(schema: z.ZodType<Value>) =>
  ({ status, text }: StoreResponse): Result<Value, StoreError> => {
    if (status === 404) return err({ type: 'not_found' });
    if (status !== 200) {
      return err({ type: 'unavailable', message: `the store VM responded with status ${status}` });
    }
    const parsed = schema.safeParse(parseJson(text));
    if (parsed.success) return ok(parsed.data);
    return err({
      type: 'protocol_violation',
      message: 'the response body does not match the schema',
    });
  };

/**
 * HTTP client for the control API of store VMs.
 *
 * @example
 * const stores = HttpStoreClient.create();
 * const status = await stores.readStatus('http://127.0.0.1:9100');
 */
export class HttpStoreClient implements StoreClient {
  private constructor(
    private readonly agent: Agent,
    private readonly timeoutMs: number,
  ) {}

  /** @param options.timeoutMs timeout of one request; 2 s by default */
  static create(options: { readonly timeoutMs?: number } = {}): HttpStoreClient {
    const agent = new Agent({
      connections: MAX_CONNECTIONS_PER_STORE,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
    return new HttpStoreClient(agent, options.timeoutMs ?? REQUEST_TIMEOUT_MS);
  }

  readonly readStatus = (url: string): ResultAsync<StoreStatus, StoreError> =>
    this.send('GET', `${url}/v1/status`).andThen(createResponseParser(storeStatusSchema));

  readonly remove = (url: string, segmentId: string): ResultAsync<void, StoreError> =>
    this.send('DELETE', `${url}/v1/segments/${encodeURIComponent(segmentId)}`).andThen(
      ({ status }): Result<void, StoreError> => {
        if (status === 204) return ok(undefined);
        if (status === 404) return err({ type: 'not_found' });
        return err({
          type: 'unavailable',
          message: `the store VM responded with status ${status}`,
        });
      },
    );

  readonly list = (
    url: string,
    after = '',
  ): ResultAsync<
    { readonly segments: readonly StoredSegment[]; readonly next: string | null },
    StoreError
  > => {
    const query = new URLSearchParams({ after, limit: String(LIST_PAGE_SIZE) });
    return this.send('GET', `${url}/v1/segments?${query.toString()}`).andThen(
      createResponseParser(pageSchema),
    );
  };

  readonly close = async (): Promise<void> => {
    await this.agent.destroy();
  };

  private send(method: 'DELETE' | 'GET', url: string): ResultAsync<StoreResponse, StoreError> {
    const run = async (): Promise<StoreResponse> => {
      const signal = AbortSignal.timeout(this.timeoutMs);
      const response = await request(url, { dispatcher: this.agent, method, signal });
      return { status: response.statusCode, text: await response.body.text() };
    };
    return ResultAsync.fromPromise(run(), (error) => ({
      type: 'unavailable',
      message: getErrorMessage(error),
    }));
  }
}
