import { computeSha256Hex } from '@lovagearch/common';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { handlePlatformCall, type PlatformAnswer } from './platformCall.js';
import type { PlatformFaultState } from './platformFaults.js';
import { getBytes } from './standinServer.js';

const MAX_OBJECTS = 100_000;
const paramsSchema = z.object({ name: z.string() });

/** The platform's object store. */
export class ObjectStandin {
  private readonly objects = new Map<string, Buffer>();

  /** Adds the object store's routes to a server. */
  static create(
    app: FastifyInstance,
    faults: PlatformFaultState,
    callDelayMs: number,
  ): ObjectStandin {
    const store = new ObjectStandin();
    app.route({
      method: ['GET', 'PUT', 'DELETE'],
      url: '/v1/objects/:name',
      exposeHeadRoute: false,
      handler: async (request, reply) => {
        const { name } = paramsSchema.parse(request.params);
        const isWrite = request.method !== 'GET';
        const call = { part: 'objects', isWrite, delayMs: callDelayMs } as const;
        return handlePlatformCall(reply, faults, call, () => {
          const isAltered = faults.getMode(call) === 'altered_read';
          if (request.method === 'GET') return store.read(name, isAltered);
          if (request.method === 'DELETE') return store.remove(name);
          return store.write(name, getBytes(request.body), request.headers['x-sha256']);
        });
      },
    });
    return store;
  }

  private read(name: string, isAltered: boolean): PlatformAnswer {
    const bytes = this.objects.get(name);
    if (bytes === undefined) return { status: 404, body: { error: { type: 'not_found' } } };
    const body = isAltered ? Buffer.concat([bytes, Buffer.from('x')]) : bytes;
    return { status: 200, body, headers: { 'x-sha256': computeSha256Hex(bytes) } };
  }

  private write(name: string, bytes: Buffer, sha256: unknown): PlatformAnswer {
    if (computeSha256Hex(bytes) !== sha256) {
      return { status: 400, body: { error: { type: 'checksum_mismatch' } } };
    }
    if (this.objects.size >= MAX_OBJECTS && !this.objects.has(name)) {
      return { status: 507, body: { error: { type: 'store_full' } } };
    }
    this.objects.set(name, bytes);
    return { status: 201 };
  }

  private remove(name: string): PlatformAnswer {
    this.objects.delete(name);
    return { status: 204 };
  }
}
