import {
  createBoundedAgent,
  createReceiveLimits,
  type ReceiveLimits,
  sendCall,
} from '@lovagearch/bounded-http';
import { type Clock, getErrorMessage, isConnectError, processClock } from '@lovagearch/common';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { Agent } from 'undici';
import { z } from 'zod';
import { parseJson, parseErrorResponse } from './responses.js';
import { ChunkValidator } from './chunkValidator.js';
import {
  CACHE_EVENT_PAGE_SIZE,
  CONNECT_TIMEOUT_MS,
  CONTROL_TIMEOUT_MS,
  EXPORT_TIMEOUT_MS,
  MAX_CONTROL_CONNECTIONS_PER_RUNNER,
  MAX_RESPONSE_BYTES,
  MAX_OPEN_STREAMS,
  STREAM_IDLE_TIMEOUT_MS,
} from './constants.js';
import type { EngineClient, EngineStream } from './engineClient.js';
import { HttpEngineStream } from './httpEngineStream.js';
import { createRequestHeaders, type StreamCall, StreamConnections } from './streamConnections.js';
import {
  type CacheEventPage,
  cacheEventPageSchema,
  type EngineAddress,
  type EngineError,
  type EngineOrder,
  type EngineStatus,
  engineStatusSchema,
  type ExportResult,
  exportResultSchema,
  type GenerateRequest,
} from './types.js';

export interface EngineClientOptions {
  readonly clock?: Clock;
  readonly streamIdleTimeoutMs?: number;
  readonly controlTimeoutMs?: number;
  readonly exportTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
  readonly maxOpenStreams?: number;
  /** What the process may spend on responses. */
  readonly limits?: ReceiveLimits;
}

interface ControlCall {
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly expectedStatus: number;
  readonly timeoutMs?: number;
}

const createResponseParser =
  <Value>(schema: z.ZodType<Value>) =>
  (text: string): Result<Value, EngineError> => {
    const parsed = schema.safeParse(parseJson(text));
    if (parsed.success) return ok(parsed.data);
    return err({
      type: 'protocol_violation',
      message: 'the response body does not match the schema',
    });
  };

/**
 * HTTP client for runners; generated tokens are streamed as NDJSON.
 *
 * @example
 * const engines = HttpEngineClient.create();
 * const stream = await engines.generate({ url: 'http://127.0.0.1:9300' }, request);
 * if (stream.isOk()) for await (const chunk of stream.value.chunks) handleChunk(chunk);
 */
export class HttpEngineClient implements EngineClient {
  private constructor(
    private readonly agent: Agent,
    private readonly streamConnections: StreamConnections,
    private readonly options: Required<EngineClientOptions>,
  ) {}

  static create(options: EngineClientOptions = {}): HttpEngineClient {
    const resolvedOptions = {
      clock: processClock,
      streamIdleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
      controlTimeoutMs: CONTROL_TIMEOUT_MS,
      exportTimeoutMs: EXPORT_TIMEOUT_MS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxOpenStreams: MAX_OPEN_STREAMS,
      limits: createReceiveLimits(),
      ...options,
    };
    const agent = createBoundedAgent({
      connections: MAX_CONTROL_CONNECTIONS_PER_RUNNER,
      connectTimeoutMs: resolvedOptions.connectTimeoutMs,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    });
    return new HttpEngineClient(agent, StreamConnections.create(resolvedOptions), resolvedOptions);
  }

  readonly generate = (
    address: EngineAddress,
    generateRequest: GenerateRequest,
  ): ResultAsync<EngineStream, EngineError> =>
    new ResultAsync(this.startGeneration(address, generateRequest));

  readonly resume = (
    address: EngineAddress,
    streamId: string,
    afterSeq: number,
  ): ResultAsync<EngineStream, EngineError> => {
    const path = `/v1/streams/${encodeURIComponent(streamId)}?after=${afterSeq}`;
    const checker = ChunkValidator.create(streamId, afterSeq);
    return new ResultAsync(this.openStream(address, { method: 'GET', path }, checker));
  };

  readonly cancel = (address: EngineAddress, streamId: string): ResultAsync<void, EngineError> =>
    this.send(address, {
      method: 'DELETE',
      path: `/v1/streams/${encodeURIComponent(streamId)}`,
      expectedStatus: 204,
    }).map(() => undefined);

  readonly readStatus = (address: EngineAddress): ResultAsync<EngineStatus, EngineError> =>
    this.send(address, { method: 'GET', path: '/v1/status', expectedStatus: 200 }).andThen(
      createResponseParser(engineStatusSchema),
    );

  readonly readCacheEvents = (
    address: EngineAddress,
    after: { readonly boot: string; readonly seq: number },
  ): ResultAsync<CacheEventPage, EngineError> => {
    const query = new URLSearchParams({
      after: String(after.seq),
      boot: after.boot,
      limit: String(CACHE_EVENT_PAGE_SIZE),
    });
    return this.send(address, {
      method: 'GET',
      path: `/v1/cache/events?${query.toString()}`,
      expectedStatus: 200,
    }).andThen(createResponseParser(cacheEventPageSchema));
  };

  readonly exportSegment = (
    address: EngineAddress,
    segment: { readonly tailKey: string; readonly depth: number; readonly target: string },
  ): ResultAsync<ExportResult, EngineError> =>
    this.send(address, {
      method: 'POST',
      path: '/v1/kv/export',
      body: segment,
      expectedStatus: 200,
      timeoutMs: this.options.exportTimeoutMs,
    }).andThen(createResponseParser(exportResultSchema));

  readonly sendOrder = (
    address: EngineAddress,
    order: EngineOrder,
  ): ResultAsync<void, EngineError> =>
    this.send(address, {
      method: 'POST',
      path: '/v1/orders',
      body: order,
      expectedStatus: 202,
    }).map(() => undefined);

  readonly close = async (): Promise<void> => {
    await Promise.all([this.agent.destroy(), this.streamConnections.close()]);
  };

  private async startGeneration(
    address: EngineAddress,
    generateRequest: GenerateRequest,
  ): Promise<Result<EngineStream, EngineError>> {
    const call = {
      method: 'POST',
      path: '/v1/generate',
      body: JSON.stringify(generateRequest),
    } as const;
    const validator = ChunkValidator.create(generateRequest.streamId, 0);
    const opened = await this.openStream(address, call, validator);
    if (opened.isErr()) return opened;
    const stream = opened.value;
    const first = await stream.chunks.next();
    if (first.done !== true && first.value.type === 'accepted') {
      return ok(HttpEngineStream.createWithFirst(first.value, stream));
    }
    stream.close();
    if (first.done !== true && first.value.type === 'failed') return err(first.value.error);
    return err({ type: 'protocol_violation', message: 'the first chunk is not `accepted`' });
  }

  private async openStream(
    address: EngineAddress,
    call: StreamCall,
    checker: ChunkValidator,
  ): Promise<Result<HttpEngineStream, EngineError>> {
    const { streamIdleTimeoutMs: silenceLimitMs, clock } = this.options;
    const opened = await this.streamConnections.open(address, call);
    return opened.map((source) =>
      HttpEngineStream.create(source, {
        validator: checker,
        streamIdleTimeoutMs: silenceLimitMs,
        clock,
      }),
    );
  }

  private send(address: EngineAddress, call: ControlCall): ResultAsync<string, EngineError> {
    return new ResultAsync(this.sendControlCall(address, call));
  }

  private async sendControlCall(
    address: EngineAddress,
    call: ControlCall,
  ): Promise<Result<string, EngineError>> {
    const timeoutMs = call.timeoutMs ?? this.options.controlTimeoutMs;
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const response = await sendCall(
        this.agent,
        {
          url: `${address.url}${call.path}`,
          method: call.method,
          headers: createRequestHeaders(address),
          ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
          maxResponseBytes: MAX_RESPONSE_BYTES,
          signal,
        },
        this.options.limits,
      );
      const text = response.body.toString('utf8');
      if (response.status === call.expectedStatus) return ok(text);
      return err(parseErrorResponse(response.status, text, false));
    } catch (error) {
      const message = getErrorMessage(error);
      if (isConnectError(error)) return err({ type: 'not_connected', message });
      if (signal.aborted) return err({ type: 'silent', silentMs: timeoutMs });
      return err({ type: 'connection_lost', message });
    }
  }
}
