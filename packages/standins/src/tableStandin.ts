import { processClock } from '@lovagearch/common';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { handlePlatformCall, type PlatformAnswer } from './platformCall.js';
import type { PlatformCall, PlatformFaultState } from './platformFaults.js';
import { RateLimiter } from './rateLimiter.js';
import { parseBody } from './standinServer.js';

/** Rows that the table holds; further new rows are refused. */
const MAX_ROWS = 500_000;
const MAX_LIST_LIMIT = 1_000;

const putSchema = z.object({
  value: z.unknown(),
  ifVersion: z.number().int().nonnegative().optional(),
  attemptId: z.string(),
});
const keySchema = z.object({ key: z.string() });
const listSchema = z.object({
  prefix: z.string().default(''),
  after: z.string().optional(),
  limit: z.coerce.number().int().positive().default(MAX_LIST_LIMIT),
});
const removeSchema = z.object({ ifVersion: z.coerce.number().int().nonnegative().optional() });

interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  readonly attemptId: string;
}

export interface TableStandinOptions {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly callDelayMs: number;
}

const RATE_LIMITED: PlatformAnswer = { status: 429, body: { error: { type: 'rate_limited' } } };

/** The platform's table: rows with versions, conditional writes and rate limits. */
export class TableStandin {
  private readonly rows = new Map<string, Row>();

  private readonly writes: RateLimiter;

  private readonly reads: RateLimiter;

  private constructor(private readonly options: TableStandinOptions) {
    this.writes = RateLimiter.create(options.writesPerSecond, processClock);
    this.reads = RateLimiter.create(options.readsPerSecond, processClock);
  }

  /** Adds the table's routes to a server. */
  static create(
    app: FastifyInstance,
    faults: PlatformFaultState,
    options: TableStandinOptions,
  ): TableStandin {
    const table = new TableStandin(options);
    table.addRoutes(app, faults);
    return table;
  }

  private addRoutes(app: FastifyInstance, faults: PlatformFaultState): void {
    const delayMs = this.options.callDelayMs;
    const readCall: PlatformCall = { part: 'table', isWrite: false, delayMs };
    const writeCall: PlatformCall = { part: 'table', isWrite: true, delayMs };
    app.get('/v1/rows/:key', async (request, reply) => {
      const { key } = keySchema.parse(request.params);
      return handlePlatformCall(reply, faults, readCall, () => this.read(key));
    });
    app.put('/v1/rows/:key', async (request, reply) => {
      const { key } = keySchema.parse(request.params);
      const put = parseBody(putSchema, request.body);
      return handlePlatformCall(reply, faults, writeCall, () => this.write(key, put));
    });
    app.delete('/v1/rows/:key', async (request, reply) => {
      const { key } = keySchema.parse(request.params);
      const { ifVersion } = removeSchema.parse(request.query);
      return handlePlatformCall(reply, faults, writeCall, () => this.remove(key, ifVersion));
    });
    app.get('/v1/rows', async (request, reply) => {
      const query = listSchema.parse(request.query);
      return handlePlatformCall(reply, faults, readCall, () => this.list(query));
    });
  }

  private read(key: string): PlatformAnswer {
    if (!this.reads.tryTake()) return RATE_LIMITED;
    const row = this.rows.get(key);
    return row === undefined
      ? { status: 404, body: { error: { type: 'not_found' } } }
      : { status: 200, body: row };
  }

  private write(key: string, put: z.infer<typeof putSchema>): PlatformAnswer {
    if (!this.writes.tryTake()) return RATE_LIMITED;
    const current = this.rows.get(key);
    const currentVersion = current?.version ?? 0;
    if (put.ifVersion !== undefined && put.ifVersion !== currentVersion) {
      return { status: 409, body: { current: current ?? null } };
    }
    if (current === undefined && this.rows.size >= MAX_ROWS) {
      return { status: 429, body: { error: { type: 'table_full' } } };
    }
    const version = currentVersion + 1;
    this.rows.set(key, { key, value: put.value ?? null, version, attemptId: put.attemptId });
    return { status: 200, body: { version } };
  }

  private remove(key: string, ifVersion: number | undefined): PlatformAnswer {
    if (!this.writes.tryTake()) return RATE_LIMITED;
    const current = this.rows.get(key);
    if (ifVersion !== undefined && ifVersion !== (current?.version ?? 0)) {
      return { status: 409, body: { current: current ?? null } };
    }
    this.rows.delete(key);
    return { status: 204 };
  }

  private list(query: z.infer<typeof listSchema>): PlatformAnswer {
    if (!this.reads.tryTake()) return RATE_LIMITED;
    const limit = Math.min(query.limit, MAX_LIST_LIMIT);
    const keys = [...this.rows.keys()]
      .filter((key) => key.startsWith(query.prefix))
      .filter((key) => query.after === undefined || key > query.after)
      .sort();
    const page = keys.slice(0, limit);
    const next = keys.length > limit ? page[page.length - 1] : null;
    return { status: 200, body: { rows: page.map((key) => this.rows.get(key)), next } };
  }
}
