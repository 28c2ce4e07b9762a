import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import { engineFaultsSchema, exportSchema, generateSchema, orderSchema } from './engineSchemas.js';
import type { EngineStandin, Refusal } from './engineStandin.js';
import { parseBody } from './standinServer.js';

const MAX_EVENT_PAGE = 1_000;

const streamParamsSchema = z.object({ streamId: z.string() });
const resumeSchema = z.object({ after: z.coerce.number().int().nonnegative().default(0) });
const eventsSchema = z.object({
  after: z.coerce.number().int().nonnegative().default(0),
  boot: z.string().default(''),
  limit: z.coerce.number().int().positive().max(MAX_EVENT_PAGE).default(MAX_EVENT_PAGE),
});

const sendRefusal = (engine: EngineStandin, reply: FastifyReply, refusal: Refusal): FastifyReply =>
  reply.code(refusal.status).send({
    error: { type: refusal.type, message: refusal.type, run: 'not_run' },
    load: engine.load.getCurrent(),
  });

const handleGenerate = (
  engine: EngineStandin,
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply => {
  const accepted = engine.accept(parseBody(generateSchema, request.body));
  if ('status' in accepted) return sendRefusal(engine, reply, accepted);
  reply.hijack();
  engine.hub.open(accepted, reply.raw, 0);
  return reply;
};

const handleResume = (
  engine: EngineStandin,
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply => {
  const stream = engine.hub.get(streamParamsSchema.parse(request.params).streamId);
  if (stream === undefined) {
    return reply.code(404).send({ error: { type: 'unknown_stream', message: 'unknown stream' } });
  }
  const { after } = resumeSchema.parse(request.query);
  reply.hijack();
  engine.hub.open(stream, reply.raw, after);
  return reply;
};

const handleExport = async (
  engine: EngineStandin,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<FastifyReply> => {
  const { tailKey, depth, target } = parseBody(exportSchema, request.body);
  const keys = engine.cache.getChainKeys(tailKey, depth);
  if (keys === undefined) {
    return reply.code(404).send({ error: { type: 'not_cached', message: 'not cached' } });
  }
  const exported = await engine.transfer.export(target, tailKey, keys);
  if (exported === undefined) {
    return reply.code(502).send({ error: { type: 'store_failed', message: 'store VM failed' } });
  }
  return reply.send({ segmentId: tailKey, depth, ...exported });
};

const handleOrder = (
  engine: EngineStandin,
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply => {
  const order = parseBody(orderSchema, request.body);
  const isAccepted = engine.slots.apply(order);
  engine.orders.add({ ...order, isAccepted });
  if (isAccepted) return reply.code(202).send({ orderId: order.orderId });
  return reply.code(409).send({
    error: { type: 'stale_fencing', message: 'a newer holder has sent orders' },
    fencing: engine.slots.fencing,
  });
};

const getStatus = (engine: EngineStandin): object => ({
  endpointId: engine.options.id,
  boot: engine.boot,
  state: engine.state,
  role: engine.slots.role,
  models: engine.slots.list(),
  loading: engine.slots.loading,
  load: engine.load.getDelayed(),
  fencing: engine.slots.fencing,
  checksFencing: engine.options.checksFencing,
});

const addControlRoutes = (app: FastifyInstance, engine: EngineStandin): void => {
  app.post('/control/faults', async (request, reply) => {
    Object.assign(engine, { faults: parseBody(engineFaultsSchema, request.body) });
    return reply.code(204).send();
  });
  app.get('/control/runs', async () => engine.runs);
  app.get('/control/arrivals', async () => engine.arrivals.list());
  app.get('/control/orders', async () => engine.orders.list());
  app.get('/control/violations', async () => engine.violations);
};

/** Adds the engine's routes to a server. */
export const registerEngineRoutes = (app: FastifyInstance, engine: EngineStandin): void => {
  const { checksCaller, serviceToken } = engine.options;
  addControlRoutes(app, engine);
  app.addHook('onRequest', async (request, reply) => {
    const isAllowed =
      !checksCaller ||
      request.url.startsWith('/control/') ||
      request.headers.authorization === `Bearer ${serviceToken}`;
    return isAllowed
      ? undefined
      : sendRefusal(engine, reply, { status: 401, type: 'unauthorized' });
  });
  app.post('/v1/generate', async (request, reply) => handleGenerate(engine, request, reply));
  app.get('/v1/streams/:streamId', async (request, reply) => handleResume(engine, request, reply));
  app.delete('/v1/streams/:streamId', async (request, reply) => {
    engine.scheduler.cancel(streamParamsSchema.parse(request.params).streamId);
    return reply.code(204).send();
  });
  app.get('/v1/status', async () => getStatus(engine));
  app.get('/v1/cache/events', async (request) => {
    const { after, boot, limit } = eventsSchema.parse(request.query);
    // A reader that knows another boot starts from the beginning of this one.
    const page = engine.events.read(boot === engine.boot ? after : 0, limit);
    return { boot: engine.boot, ...page };
  });
  app.post('/v1/kv/export', async (request, reply) => handleExport(engine, request, reply));
  app.post('/v1/orders', async (request, reply) => handleOrder(engine, request, reply));
};
