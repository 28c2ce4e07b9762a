import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { parseBody } from './standinServer.js';

const modeSchema = z.enum([
  'ok',
  'down',
  'slow',
  'lost_answers',
  'error_after_effect',
  'altered_read',
]);

export const platformFaultsSchema = z.object({
  table: modeSchema.default('ok'),
  objects: modeSchema.default('ok'),
  vms: modeSchema.default('ok'),
  /** Added to each call of a part in mode `slow`, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Leaves reads as they are, so that lost answers of writes can be resolved. */
  writesOnly: z.boolean().default(false),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

export interface PlatformCall {
  readonly part: 'objects' | 'table' | 'vms';
  readonly isWrite: boolean;
  /** Delay of every call, without faults, in milliseconds. */
  readonly delayMs: number;
}

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

  getMode({ part, isWrite }: PlatformCall): PlatformFaults['table'] {
    return this.faults.writesOnly && !isWrite ? 'ok' : this.faults[part];
  }

  getDelayMs(call: PlatformCall): number {
    return this.getMode(call) === 'slow' ? this.faults.delayMs : 0;
  }
}
