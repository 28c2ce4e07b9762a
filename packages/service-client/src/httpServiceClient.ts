import {
  type CallResponse,
  createBoundedAgent,
  createReceiveLimits,
  type ReceiveLimits,
  ResponseTooLargeError,
  sendCall,
} from '@lovagearch/bounded-http';
import { getErrorMessage, isConnectError } from '@lovagearch/common';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { type Agent, Client, type Dispatcher } from 'undici';
import {
  CONNECT_TIMEOUT_MS,
  HEALTH_TIMEOUT_MS,
  MAX_CONNECTIONS_PER_INSTANCE,
  MAX_FRESH_CONNECTIONS,
  MAX_RESPONSE_BYTES,
} from './constants.js';
import { formatResponseHeaders, isSelfDelimited, selectRequestHeaders } from './headers.js';
import {
  type ServiceClient,
  type ServiceError,
  type ServiceHealth,
  serviceHealthSchema,
  type ServiceRequest,
  type ServiceResponse,
} from './types.js';

export interface ServiceClientOptions {
  readonly connectTimeoutMs?: number;
  readonly healthTimeoutMs?: number;
  readonly maxResponseBytes?: number;
  /** What the process may spend on responses. */
  readonly limits?: ReceiveLimits;
}

/** Codes of errors that are thrown while a request is built, before any byte is sent. */
const PRE_SEND_ERROR_CODES = new Set([
  'ERR_INVALID_URL',
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

const isPreSendError = (error: unknown): boolean =>
  isConnectError(error) ||
  (error instanceof Error && 'code' in error && PRE_SEND_ERROR_CODES.has(String(error.code)));

const parseHealth = ({ status, body }: ServiceResponse): Result<ServiceHealth, ServiceError> => {
  const message = `unexpected response to the health check, with status ${status}`;
  try {
    const parsed = serviceHealthSchema.safeParse(JSON.parse(Buffer.from(body).toString('utf8')));
    if (status === 200 && parsed.success) return ok(parsed.data);
  } catch {
    // Invalid JSON is reported like any other unexpected body.
  }
  return err({ type: 'connection_lost', message });
};

/**
 * HTTP client for plain services. Each request is sent once, and only complete responses are returned.
 *
 * @example
 * const services = HttpServiceClient.create();
 * const response = await services.send('http://127.0.0.1:9200', {
 *   method: 'POST', path: '/claims', headers: {}, body, timeoutMs: 5_000, freshConnection: true,
 * });
 */
export class HttpServiceClient implements ServiceClient {
  /** Clients that each serve a single call on a connection of its own. */
  private readonly freshClients = new Set<Client>();

  private constructor(
    private readonly agent: Agent,
    private readonly options: Required<ServiceClientOptions>,
  ) {}

  static create(options: ServiceClientOptions = {}): HttpServiceClient {
    const allOptions = {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      healthTimeoutMs: HEALTH_TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      limits: createReceiveLimits(),
      ...options,
    };
    const agent = createBoundedAgent({
      connections: MAX_CONNECTIONS_PER_INSTANCE,
      connectTimeoutMs: allOptions.connectTimeoutMs,
      maxResponseBytes: allOptions.maxResponseBytes,
    });
    return new HttpServiceClient(agent, allOptions);
  }

  readonly send = (
    url: string,
    request: ServiceRequest,
  ): ResultAsync<ServiceResponse, ServiceError> =>
    new ResultAsync(
      request.freshConnection === true
        ? this.sendOnFreshConnection(url, request)
        : this.sendOn(this.agent, url, request),
    );

  readonly readHealth = (url: string): ResultAsync<ServiceHealth, ServiceError> =>
    this.send(url, {
      method: 'GET',
      path: '/health',
      headers: {},
      body: undefined,
      timeoutMs: this.options.healthTimeoutMs,
    }).andThen(parseHealth);

  readonly close = async (): Promise<void> => {
    const clients = [...this.freshClients].map(async (client) => client.destroy());
    await Promise.all([this.agent.destroy(), ...clients]);
  };

  private async sendOnFreshConnection(
    url: string,
    request: ServiceRequest,
  ): Promise<Result<ServiceResponse, ServiceError>> {
    if (this.freshClients.size >= MAX_FRESH_CONNECTIONS) {
      return err({ type: 'not_connected', message: 'too many open connections for single calls' });
    }
    const client = this.createClient(url, request.timeoutMs);
    if (client === undefined) return err({ type: 'not_connected', message: 'invalid URL' });
    this.freshClients.add(client);
    try {
      return await this.sendOn(client, url, request);
    } finally {
      this.freshClients.delete(client);
      await client.destroy();
    }
  }

  private createClient(url: string, timeoutMs: number): Client | undefined {
    const connectTimeoutMs = Math.min(this.options.connectTimeoutMs, timeoutMs);
    try {
      return new Client(url, { pipelining: 1, connect: { timeout: connectTimeoutMs } });
    } catch {
      return undefined;
    }
  }

  private async sendOn(
    dispatcher: Dispatcher,
    url: string,
    request: ServiceRequest,
  ): Promise<Result<ServiceResponse, ServiceError>> {
    const { limits, maxResponseBytes } = this.options;
    const signal = AbortSignal.timeout(request.timeoutMs);
    try {
      const call = {
        url: `${url}${request.path}`,
        method: request.method,
        headers: selectRequestHeaders(request.headers),
        ...(request.body === undefined ? {} : { body: request.body }),
        closesConnection: request.freshConnection === true,
        maxResponseBytes,
        signal,
      };
      return this.checkResponse(request.method, await sendCall(dispatcher, call, limits));
    } catch (error) {
      if (error instanceof ResponseTooLargeError)
        return err({ type: 'response_too_large', limitBytes: maxResponseBytes });
      if (isPreSendError(error))
        return err({ type: 'not_connected', message: getErrorMessage(error) });
      if (signal.aborted) return err({ type: 'timeout', timeoutMs: request.timeoutMs });
      return err({ type: 'connection_lost', message: getErrorMessage(error) });
    }
  }

  private checkResponse(
    method: string,
    { status, headers, body }: CallResponse,
  ): Result<ServiceResponse, ServiceError> {
    if (!isSelfDelimited(method, status, headers)) {
      return err({
        type: 'connection_lost',
        message: 'the response has neither Content-Length nor Transfer-Encoding',
      });
    }
    return ok({ status, headers: formatResponseHeaders(headers), body });
  }
}
