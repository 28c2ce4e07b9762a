import { processClock } from '@lovagearch/common';
import { Agent, request, type Dispatcher } from 'undici';
import {
  completionSchema,
  errorSchema,
  StreamReader,
  type CallerFailure,
  type CallerUsage,
} from './streamReader.js';

/** What a caller saw of one request. */
export interface CallerResult {
  readonly status: number;
  readonly requestId: string;
  readonly text: string;
  /** Whether `[DONE]` or a whole body arrived. */
  readonly isComplete: boolean;
  /** Number of `[DONE]` events; 0 for an answer that was not streamed. */
  readonly doneCount: number;
  readonly lastEventId: string;
  readonly usage: CallerUsage | undefined;
  readonly failure: CallerFailure | undefined;
  /** Time until the first text, in milliseconds; 0 if none arrived. */
  readonly ttftMs: number;
  /** Times between the texts after the first, in milliseconds. */
  readonly gapsMs: readonly number[];
}

export interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly seed?: number;
  readonly stream?: boolean;
  readonly priority?: string;
  readonly deadline_ms?: number;
}

export interface SendOptions {
  readonly lastEventId?: string;
  readonly requestId?: string;
  /** Called for each text that arrives. */
  readonly onText?: (text: string) => void;
  readonly signal?: AbortSignal;
  /** Time without a byte after which the caller gives the connection up, in milliseconds. */
  readonly silenceLimitMs?: number;
  /** Called after each read; the caller reads on when the promise ends. */
  readonly waitBeforeRead?: () => Promise<void> | undefined;
}

/**
 * A caller: sends requests to entry processes and checks the form of what comes back.
 *
 * @example
 * const caller = CallerClient.create('key');
 * const result = await caller.sendCompletion('http://127.0.0.1:8080', body);
 */
export class CallerClient {
  private constructor(
    private readonly key: string,
    private readonly agent: Agent,
  ) {}

  static create(key: string): CallerClient {
    return new CallerClient(key, new Agent({ connections: 512, pipelining: 1 }));
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Sends a prompt; a connection that breaks gives a result that is not complete. */
  async sendCompletion(
    url: string,
    body: CompletionBody,
    options: SendOptions = {},
  ): Promise<CallerResult> {
    const startMs = processClock.nowMs();
    const response = await request(`${url}/v1/completions`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${this.key}`,
        'content-type': 'application/json',
        ...(options.lastEventId === undefined ? {} : { 'last-event-id': options.lastEventId }),
        ...(options.requestId === undefined ? {} : { 'x-request-id': options.requestId }),
      },
      body: JSON.stringify(body),
      bodyTimeout: options.silenceLimitMs ?? 30_000,
      headersTimeout: options.silenceLimitMs ?? 120_000,
      signal: options.signal ?? null,
    });
    const reader = new StreamReader(options.onText);
    await this.readBody(response, reader, body.stream === true, options);
    const requestId = response.headers['x-request-id'];
    return {
      status: response.statusCode,
      requestId: typeof requestId === 'string' ? requestId : '',
      text: reader.text,
      isComplete: reader.isComplete,
      doneCount: reader.doneCount,
      lastEventId: reader.lastEventId,
      usage: reader.usage,
      failure: reader.failure,
      ttftMs: reader.firstAtMs === 0 ? 0 : reader.firstAtMs - startMs,
      gapsMs: reader.gapsMs,
    };
  }

  /** Calls a plain service through an entry process. */
  async sendService(
    url: string,
    path: string,
    options: {
      readonly method?: Dispatcher.HttpMethod;
      readonly idempotencyKey?: string;
      readonly body?: unknown;
    } = {},
  ): Promise<{
    readonly status: number;
    readonly body: unknown;
    readonly failure: CallerFailure | undefined;
  }> {
    const response = await request(`${url}/services/${path}`, {
      method: options.method ?? 'POST',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${this.key}`,
        'content-type': 'application/json',
        ...(options.idempotencyKey === undefined
          ? {}
          : { 'idempotency-key': options.idempotencyKey }),
      },
      body: options.body === undefined ? null : JSON.stringify(options.body),
      headersTimeout: 60_000,
    });
    const text = await response.body.text();
    const parsed: unknown = text === '' ? null : JSON.parse(text);
    const failure = errorSchema.safeParse(parsed);
    return {
      status: response.statusCode,
      body: parsed,
      failure: failure.success ? failure.data.error : undefined,
    };
  }

  private async readBody(
    response: Dispatcher.ResponseData,
    reader: StreamReader,
    isStream: boolean,
    options: SendOptions,
  ): Promise<void> {
    if (response.statusCode !== 200 || !isStream) {
      await this.readWholeBody(response, reader);
      return;
    }
    const decoder = new TextDecoder();
    let buffered = '';
    try {
      for await (const bytes of response.body) {
        buffered += decoder.decode(bytes as Uint8Array, { stream: true });
        const blocks = buffered.split('\n\n');
        buffered = blocks.pop() ?? '';
        for (const block of blocks) reader.handleEvent(block);
        await options.waitBeforeRead?.();
      }
    } catch {
      // The connection broke; what arrived so far is in the reader.
    }
  }

  private async readWholeBody(
    response: Dispatcher.ResponseData,
    reader: StreamReader,
  ): Promise<void> {
    const parsed: unknown = await response.body.json();
    const failure = errorSchema.safeParse(parsed);
    if (failure.success) {
      // The reader belongs to this call alone.
      Object.assign(reader, { failure: failure.data.error });
      return;
    }
    const completion = completionSchema.parse(parsed);
    Object.assign(reader, {
      text: completion.choices[0]?.text ?? '',
      usage: completion.usage ?? undefined,
      isComplete: true,
      firstAtMs: processClock.nowMs(),
    });
  }
}
