import {
  type CallerError,
  type Clock,
  createId,
  createNotRunError,
  createUnknownOutcomeError,
  getErrorMessage,
  getHttpStatus,
  type Logger,
  type Metrics,
  type RequestId,
  toId,
} from '@lovagearch/common';
import {
  fastify,
  type FastifyError,
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import { computeBearerKeyHash } from './bearerKey.js';
import type { CallerAccount, CallerConfiguration } from './callerConfiguration.js';
import { MAX_CALLER_ID_LENGTH, DEFAULT_RETRY_AFTER_MS } from './callerConstants.js';
import { renderErrorBody, renderErrorHeaders } from './callerErrorBody.js';
import type { CompletionKind } from './completionRequest.js';
import type { DecisionLog } from './decisionLog.js';
import type { DrainController } from './drainController.js';
import type { CallerContext } from './generationOpener.js';
import type { ModelRequestHandler } from './modelRequestHandler.js';
import type { ServiceRequestHandler } from './serviceRequestHandler.js';

/** Dependencies of the caller API. */
export interface CallerServerDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly configuration: CallerConfiguration;
  readonly drain: DrainController;
  readonly models: ModelRequestHandler;
  /** Returns whether the node knows enough endpoints; treated as true if absent. */
  readonly isReady?: () => boolean;
  readonly services: ServiceRequestHandler;
  /** Maximum size of a request body, in bytes. */
  readonly maxBodyBytes: number;
}

const REQUEST_ID_PATTERN = new RegExp(`^[A-Za-z0-9._:-]{1,${MAX_CALLER_ID_LENGTH}}$`);
const SERVICE_METHODS = ['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'];
const UNAUTHENTICATED_PATHS = new Set(['/healthz', '/readyz']);

const getSingleHeader = (request: FastifyRequest, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

/** Converts a fastify error caused by the request into a caller error. */
const toCallerError = (error: FastifyError): CallerError | undefined => {
  if (error.code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
    return createNotRunError('body_too_large', 'the body exceeds the size limit');
  }
  if (error.code === 'FST_ERR_CTP_INVALID_JSON_BODY' || error instanceof SyntaxError) {
    return createNotRunError('bad_json', 'the body is not valid JSON');
  }
  const { statusCode } = error;
  if (statusCode === undefined || statusCode < 400 || statusCode >= 500) return undefined;
  return createNotRunError('bad_request', error.message);
};

/** HTTP server of the caller API: authentication, routes and error responses. */
export class CallerServer {
  private readonly arrivalTimesMs = new WeakMap<FastifyRequest, number>();

  private readonly accounts = new WeakMap<FastifyRequest, CallerAccount>();

  private readonly server: FastifyInstance;

  private constructor(private readonly parts: CallerServerDependencies) {
    this.server = fastify({
      bodyLimit: parts.maxBodyBytes,
      genReqId: ({ headers }) => {
        const received = headers['x-request-id'];
        return typeof received === 'string' && REQUEST_ID_PATTERN.test(received)
          ? received
          : createId<RequestId>('req');
      },
      frameworkErrors: (error, request, reply) => this.handleError(error, request, reply),
      forceCloseConnections: 'idle',
      return503OnClosing: false,
    });
    this.addHooks();
    this.addRoutes();
  }

  static create(parts: CallerServerDependencies): CallerServer {
    return new CallerServer(parts);
  }

  /** Starts listening and returns the port. */
  async listen(host: string, port: number): Promise<number> {
    await this.server.listen({ host, port });
    const address = this.server.server.address();
    return typeof address === 'object' && address !== null ? address.port : port;
  }

  /** Stops listening and closes idle connections; `force` also closes those with running requests. */
  async close(force: boolean): Promise<void> {
    if (force) this.server.server.closeAllConnections();
    await this.server.close();
  }

  private addHooks(): void {
    const { server, parts } = this;
    server.addHook('onRequest', async (request, reply) => {
      this.arrivalTimesMs.set(request, parts.clock.nowMs());
      reply.header('x-request-id', request.id);
      if (parts.drain.isDraining) reply.header('connection', 'close');
      // Counted until the response has been sent, so that a drain does not interrupt it.
      const recordRequestEnd = parts.drain.recordRequest();
      reply.raw.on('close', recordRequestEnd);
      if (UNAUTHENTICATED_PATHS.has(request.url)) return undefined;
      const refusal = this.authenticate(request);
      return refusal === undefined ? undefined : this.sendError(request, reply, refusal);
    });
    server.setErrorHandler<FastifyError>(async (error, request, reply) =>
      this.handleError(error, request, reply),
    );
    server.setNotFoundHandler(async (request, reply) =>
      this.sendError(request, reply, createNotRunError('not_found', 'this path does not exist')),
    );
    // Clients send various content types, but the body is always JSON.
    server.removeAllContentTypeParsers();
    server.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => {
      try {
        done(null, JSON.parse(body.toString()));
      } catch (error) {
        done(error instanceof Error ? error : new SyntaxError('invalid JSON'));
      }
    });
  }

  private addRoutes(): void {
    const { server, parts } = this;
    server.get('/healthz', async () => ({ status: 'ok' }));
    server.get('/readyz', async (request, reply) => {
      const refusal = this.findReadinessError();
      return refusal === undefined ? { status: 'ready' } : this.sendError(request, reply, refusal);
    });
    server.get('/v1/models', async (request) => this.renderModels(this.getContext(request)));
    server.post('/v1/completions', async (request, reply) =>
      this.handleCompletion('completion', request, reply),
    );
    server.post('/v1/chat/completions', async (request, reply) =>
      this.handleCompletion('chat', request, reply),
    );
    server.register(async (services) => {
      services.removeAllContentTypeParsers();
      services.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
        done(null, body);
      });
      services.route<{ Params: { service: string } }>({
        method: SERVICE_METHODS,
        url: '/services/:service/*',
        exposeHeadRoute: false,
        handler: async (request, reply) =>
          this.handleServiceCall(request.params.service, request, reply),
      });
    });
    parts.log.debug('Registered the routes of the caller API.');
  }

  private findReadinessError(): CallerError | undefined {
    const { drain, configuration, isReady } = this.parts;
    if (drain.isDraining) return createNotRunError('draining', 'the node is draining');
    if (!configuration.isLoaded()) {
      return createNotRunError(
        'not_ready',
        'no configuration has been received yet',
        DEFAULT_RETRY_AFTER_MS,
      );
    }
    if (isReady?.() !== false) return undefined;
    return createNotRunError(
      'not_ready',
      'the endpoints have not been discovered yet',
      DEFAULT_RETRY_AFTER_MS,
    );
  }

  private authenticate(request: FastifyRequest): CallerError | undefined {
    const { configuration } = this.parts;
    if (!configuration.isLoaded()) {
      return createNotRunError(
        'not_ready',
        'no configuration has been received yet',
        DEFAULT_RETRY_AFTER_MS,
      );
    }
    const hash = computeBearerKeyHash(request.headers.authorization);
    // The lookup uses the SHA-256 hash, so its duration reveals nothing about the key.
    const account = hash === undefined ? undefined : configuration.findAccountByKeyHash(hash);
    if (account === undefined) {
      return createNotRunError('unauthorized', 'missing or unknown bearer key');
    }
    this.accounts.set(request, account);
    return undefined;
  }

  private getContext(request: FastifyRequest): CallerContext {
    const account = this.accounts.get(request);
    if (account === undefined) throw new Error('the request has not been authenticated');
    const startMs = this.arrivalTimesMs.get(request) ?? this.parts.clock.nowMs();
    return { requestId: toId<RequestId>(request.id), account, arrivedAtMs: startMs };
  }

  private renderModels({ account }: CallerContext) {
    const data = this.parts.configuration
      .listModels()
      .filter(({ service }) => account.services.includes(service))
      .map(({ id, service }) => ({ id, object: 'model', created: 0, owned_by: service }));
    return { object: 'list', data };
  }

  private async handleCompletion(
    kind: CompletionKind,
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const headers = {
      'x-request-id': request.id,
      ...(this.parts.drain.isDraining ? { connection: 'close' } : {}),
    };
    const lastEventId = getSingleHeader(request, 'last-event-id');
    const context = this.getContext(request);
    const { models } = this.parts;
    const outcome = await models.handle(context, kind, request.body, lastEventId, reply, headers);
    return outcome.type === 'error' ? this.sendError(request, reply, outcome.error) : reply;
  }

  private async handleServiceCall(
    serviceName: string,
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const url = request.raw.url ?? '';
    const queryStart = url.indexOf('?');
    const pathEnd = queryStart < 0 ? url.length : queryStart;
    const pathStart = url.indexOf('/', '/services/'.length);
    // A call continues after its caller disconnects; a drain waits until its outcome is recorded.
    const recordCallEnd = this.parts.drain.recordRequest();
    const result = await this.parts.services
      .handle(this.getContext(request), {
        serviceName,
        method: request.method,
        path: url.slice(pathStart, pathEnd),
        query: url.slice(pathEnd),
        headers: request.headers,
        body: Buffer.isBuffer(request.body) ? request.body : undefined,
      })
      .finally(recordCallEnd);
    if (result.isErr()) return this.sendError(request, reply, result.error);
    const { status, headers, body } = result.value;
    return reply.code(status).headers(headers).send(Buffer.from(body));
  }

  private handleError(error: FastifyError, request: FastifyRequest, reply: FastifyReply) {
    const refusal = toCallerError(error);
    if (refusal !== undefined) return this.sendError(request, reply, refusal);
    this.parts.log.error(`Request ${request.id} failed: ${getErrorMessage(error)}.`);
    const unknownOutcome = createUnknownOutcomeError(
      'endpoint_failed',
      'the node failed to process the request',
    );
    return this.sendError(request, reply, unknownOutcome);
  }

  private sendError(
    request: FastifyRequest,
    reply: FastifyReply,
    error: CallerError,
  ): FastifyReply {
    const { decisions, metrics } = this.parts;
    const account = this.accounts.get(request)?.id ?? '';
    metrics.addCount('refusals', { type: error.type, account });
    // Health checks of load balancers are not recorded as decisions.
    if (!UNAUTHENTICATED_PATHS.has(request.url)) {
      decisions.record(request.id, { type: 'refused', error: error.type, run: error.run });
    }
    return reply
      .code(getHttpStatus(error.type))
      .headers({ 'x-request-id': request.id, ...renderErrorHeaders(error) })
      .type('application/json; charset=utf-8')
      .send(renderErrorBody(error, request.id));
  }
}
