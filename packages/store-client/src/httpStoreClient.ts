import {
  createBoundedAgent,
  createReceiveLimits,
  readJson,
  type ReceiveLimits,
  sendCall,
} from '@lovagearch/bounded-http';
import { getErrorMessage } from '@lovagearch/common';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { Agent } from 'undici';
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
  readonly body: Buffer;
}

const createResponseParser =
  <Value>(schema: z.ZodType<Value>) =>
  ({ status, body }: StoreResponse): Result<Value, StoreError> => {
    if (status === 404) return err({ type: 'not_found' });
    if (status !== 200) {
      return err({ type: 'unavailable', message: `the store VM responded with status ${status}` });
    }
    const parsed = schema.safeParse(readJson(body));
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
    private readonly limits: ReceiveLimits,
  ) {}

  /**
   * @param options.timeoutMs timeout of one request; 2 s by default
   * @param options.limits what the process may spend on responses
   */
  static create(
    options: { readonly timeoutMs?: number; readonly limits?: ReceiveLimits } = {},
  ): HttpStoreClient {
    const agent = createBoundedAgent({
      connections: MAX_CONNECTIONS_PER_STORE,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    });
    const { timeoutMs = REQUEST_TIMEOUT_MS, limits = createReceiveLimits() } = options;
    return new HttpStoreClient(agent, timeoutMs, limits);
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
      const call = { url, method, maxResponseBytes: MAX_RESPONSE_BYTES, signal };
      return sendCall(this.agent, call, this.limits);
    };
    return ResultAsync.fromPromise(run(), (error) => ({
      type: 'unavailable',
      message: getErrorMessage(error),
    }));
  }
}
