import { computeSha256Hex, processClock } from '@lovagearch/common';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { setTimeout as waitMs } from 'node:timers/promises';
import { z } from 'zod';
import { ArrivalLog } from './arrivalLog.js';
import { getBytes, parseBody } from './standinServer.js';

/** Distinct runs that the log keeps; the oldest is dropped beyond this. */
const MAX_LOGGED_RUNS = 10_000;
/** Pause between two checks whether the running calls have ended, in milliseconds. */
const DRAIN_CHECK_MS = 10;

const faultsSchema = z.object({
  /** `down`: answers 503 without a run. `slow`: runs after `delayMs`. */
  mode: z.enum(['ok', 'down', 'slow']).default('ok'),
  delayMs: z.number().nonnegative().default(0),
  dropAfterRun: z.boolean().default(false),
});

interface LoggedRun {
  readonly idempotencyKey: string | null;
  readonly attempt: string | null;
  readonly account: string | null;
  readonly path: string;
  readonly bodySha256: string;
  count: number;
}

export interface ServiceStandinOptions {
  readonly id: string;
  readonly checksCaller: boolean;
  readonly serviceToken: string;
  readonly minDrainMs: number;
}

const getHeader = (request: FastifyRequest, name: string): string | null => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
};

/** A plain service that runs any call and logs what it ran. */
export class ServiceStandin {
  private readonly arrivals = ArrivalLog.create();

  private readonly runs = new Map<string, LoggedRun>();

  private faults = faultsSchema.parse({});

  private totalRuns = 0;

  private active = 0;

  private isDraining = false;

  private constructor(private readonly options: ServiceStandinOptions) {}

  /** Adds the service's routes to a server. */
  static create(app: FastifyInstance, options: ServiceStandinOptions): ServiceStandin {
    const service = new ServiceStandin(options);
    app.post('/control/faults', async (request, reply) => {
      service.faults = parseBody(faultsSchema, request.body);
      return reply.code(204).send();
    });
    app.get('/control/runs', async () => [...service.runs.values()]);
    app.get('/control/arrivals', async () => service.arrivals.list());
    app.get('/health', async () => ({
      state: service.isDraining ? 'draining' : 'ready',
      load: { active: service.active, queued: 0 },
    }));
    app.all('/*', async (request, reply) => service.handleCall(request, reply));
    return service;
  }

  /** Reports `draining` and completes when no call is running. */
  async drain(): Promise<void> {
    this.isDraining = true;
    const endMs = processClock.nowMs() + this.options.minDrainMs;
    while (this.active > 0 || processClock.nowMs() < endMs) await waitMs(DRAIN_CHECK_MS);
  }

  private async handleCall(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { checksCaller, serviceToken } = this.options;
    if (checksCaller && getHeader(request, 'authorization') !== `Bearer ${serviceToken}`) {
      return reply.code(401).send({ error: { type: 'unauthorized', message: 'bad token' } });
    }
    this.arrivals.add({ requestId: getHeader(request, 'x-request-id') });
    if (this.faults.mode === 'down') return reply.code(503).send({ error: { type: 'down' } });
    this.active += 1;
    try {
      if (this.faults.delayMs > 0) await waitMs(this.faults.delayMs);
      return await this.runCall(request, reply);
    } finally {
      this.active -= 1;
    }
  }

  private async runCall(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const run = this.recordRun(request);
    if (this.faults.dropAfterRun) {
      reply.hijack();
      reply.raw.destroy();
      return reply;
    }
    return reply.code(200).send({
      endpointId: this.options.id,
      path: run.path,
      method: request.method,
      bodySha256: run.bodySha256,
      count: run.count,
      run: this.totalRuns,
    });
  }

  private recordRun(request: FastifyRequest): LoggedRun {
    this.totalRuns += 1;
    const bodySha256 = computeSha256Hex(getBytes(request.body));
    const idempotencyKey = getHeader(request, 'idempotency-key');
    const account = getHeader(request, 'x-account');
    // A call without a key is a run of its own.
    const identity = idempotencyKey === null ? this.totalRuns : [account, idempotencyKey];
    const name = JSON.stringify([request.method, request.url, identity, bodySha256]);
    const run = this.runs.get(name) ?? {
      idempotencyKey,
      attempt: getHeader(request, 'x-attempt') ?? getHeader(request, 'x-request-id'),
      account,
      path: request.url,
      bodySha256,
      count: 0,
    };
    run.count += 1;
    this.runs.set(name, run);
    const [oldest] = this.runs.keys();
    if (this.runs.size > MAX_LOGGED_RUNS && oldest !== undefined) this.runs.delete(oldest);
    return run;
  }
}
