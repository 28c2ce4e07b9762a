import { computeSha256Hex, MS_PER_SECOND } from '@lovagearch/common';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { randomUUID } from 'node:crypto';
import { setTimeout as waitMs } from 'node:timers/promises';
import { z } from 'zod';
import { getBytes, parseBody } from './standinServer.js';

const MAX_LIST_LIMIT = 1_000;

const faultsSchema = z.object({
  mode: z.enum(['ok', 'short_read', 'altered_read', 'full', 'down', 'slow']).default('ok'),
  delayMs: z.number().nonnegative().default(0),
});
const paramsSchema = z.object({ segmentId: z.string() });
const listSchema = z.object({
  after: z.string().default(''),
  limit: z.coerce.number().int().positive().default(MAX_LIST_LIMIT),
});
const uploadSchema = z.object({
  'x-length': z.coerce.number().int().nonnegative(),
  'x-sha256': z.string(),
  'x-depth': z.coerce.number().int().positive(),
});

interface Segment {
  readonly segmentId: string;
  readonly bytes: Buffer;
  readonly sha256: string;
  readonly depth: number;
  readonly generation: number;
}

export interface StoreStandinOptions {
  readonly capacityBytes: number;
  readonly bytesPerSecond: number;
}

const createError = (type: string): object => ({ error: { type, message: type } });

/**
 * A store VM. An upload is held apart until its length and SHA-256 match, then it becomes visible
 * in one step under a new generation number.
 */
export class StoreStandin {
  private readonly segments = new Map<string, Segment>();

  private readonly boot = randomUUID();

  private faults = faultsSchema.parse({});

  private usedBytes = 0;

  private lastGeneration = 0;

  private constructor(private readonly options: StoreStandinOptions) {}

  /** Adds the store VM's routes to a server. */
  static create(app: FastifyInstance, options: StoreStandinOptions): StoreStandin {
    const store = new StoreStandin(options);
    app.post('/control/faults', async (request, reply) => {
      store.faults = parseBody(faultsSchema, request.body);
      return reply.code(204).send();
    });
    app.addHook('preHandler', async (request, reply) => store.applyCallFaults(request, reply));
    app.put('/v1/segments/:segmentId', async (request, reply) => store.handleWrite(request, reply));
    app.get('/v1/segments/:segmentId', async (request, reply) => store.handleRead(request, reply));
    app.delete('/v1/segments/:segmentId', async (request, reply) => {
      store.remove(paramsSchema.parse(request.params).segmentId);
      return reply.code(204).send();
    });
    app.get('/v1/segments', async (request) => store.list(listSchema.parse(request.query)));
    app.get('/v1/status', async () => ({
      usedBytes: store.usedBytes,
      capacityBytes: store.options.capacityBytes,
      segments: store.segments.size,
      boot: store.boot,
    }));
    return store;
  }

  private async applyCallFaults(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    if (request.url.startsWith('/control/')) return undefined;
    const { mode, delayMs } = this.faults;
    if (mode === 'slow') await waitMs(delayMs);
    if (mode === 'down') return reply.code(503).send(createError('down'));
    return undefined;
  }

  private async handleWrite(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { segmentId } = paramsSchema.parse(request.params);
    const headers = uploadSchema.parse(request.headers);
    const bytes = getBytes(request.body);
    await this.waitForTransfer(bytes.length);
    const sha256 = computeSha256Hex(bytes);
    if (bytes.length !== headers['x-length'] || sha256 !== headers['x-sha256']) {
      return reply.code(400).send(createError('checksum_mismatch'));
    }
    const replacedBytes = this.segments.get(segmentId)?.bytes.length ?? 0;
    const usedBytes = this.usedBytes - replacedBytes + bytes.length;
    if (this.faults.mode === 'full' || usedBytes > this.options.capacityBytes) {
      return reply.code(507).send(createError('store_full'));
    }
    this.lastGeneration += 1;
    const generation = this.lastGeneration;
    const depth = headers['x-depth'];
    this.segments.set(segmentId, { segmentId, bytes, sha256, depth, generation });
    this.usedBytes = usedBytes;
    return reply.code(201).send({ generation });
  }

  private async handleRead(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const segment = this.segments.get(paramsSchema.parse(request.params).segmentId);
    if (segment === undefined) return reply.code(404).send(createError('not_found'));
    if (request.method === 'GET') await this.waitForTransfer(segment.bytes.length);
    return reply
      .headers({
        'content-type': 'application/octet-stream',
        'x-generation': String(segment.generation),
        'x-length': String(segment.bytes.length),
        'x-sha256': segment.sha256,
        'x-depth': String(segment.depth),
      })
      .send(this.getReadBytes(segment.bytes));
  }

  private getReadBytes(bytes: Buffer): Buffer {
    if (this.faults.mode === 'short_read') return bytes.subarray(0, bytes.length >> 1);
    if (this.faults.mode !== 'altered_read' || bytes.length === 0) return bytes;
    const altered = Buffer.from(bytes);
    const last = altered.length - 1;
    altered[last] = (altered[last] ?? 0) ^ 0xff;
    return altered;
  }

  private remove(segmentId: string): void {
    this.usedBytes -= this.segments.get(segmentId)?.bytes.length ?? 0;
    this.segments.delete(segmentId);
  }

  private list(query: z.infer<typeof listSchema>): object {
    const limit = Math.min(query.limit, MAX_LIST_LIMIT);
    const ids = [...this.segments.keys()].filter((id) => id > query.after).sort();
    const page: object[] = [];
    for (const id of ids.slice(0, limit)) {
      const segment = this.segments.get(id);
      if (segment === undefined) continue;
      page.push({ ...segment, bytes: segment.bytes.length });
    }
    return { segments: page, next: ids.length > limit ? ids[limit - 1] : null };
  }

  private async waitForTransfer(bytes: number): Promise<void> {
    const { bytesPerSecond } = this.options;
    if (bytesPerSecond > 0) await waitMs((bytes * MS_PER_SECOND) / bytesPerSecond);
  }
}
