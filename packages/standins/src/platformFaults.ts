import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { parseBody } from './standinServer.js';

const modeSchema = z.enum(['ok', 'down', 'slow', 'lost_answers', 'error_after_effect']);

export const platformFaultsSchema = z.object({
  table: modeSchema.default('ok'),
  objects: modeSchema.default('ok'),
  vms: modeSchema.default('ok'),
  /** Added to each call of a part in mode `slow`, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
export type PlatformPart = 'objects' | 'table' | 'vms';

/** The faults in force; each `POST /control/faults` replaces all of them. */
export class PlatformFaultState {
  private faults: PlatformFaults = platformFaultsSchema.parse({});

  static create(app: FastifyInstance): PlatformFaultState {
    const state = new PlatformFaultState();
    app.post('/control/faults', async (request, reply) => {
      state.faults = parseBody(platformFaultsSchema, request.body);
      return reply.code(204).send();
    });
    return state;
  }

  getMode(part: PlatformPart): PlatformFaults['table'] {
    return this.faults[part];
  }

  getDelayMs(part: PlatformPart): number {
    return this.faults[part] === 'slow' ? this.faults.delayMs : 0;
  }
}
