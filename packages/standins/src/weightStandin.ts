import { computeSha256Hex } from '@lovagearch/common';
import type { FastifyInstance } from 'fastify';
import { setTimeout as waitMs } from 'node:timers/promises';
import { z } from 'zod';

const WEIGHT_BYTES = 65_536;
const paramsSchema = z.object({ model: z.string(), version: z.string() });

/**
 * The weight store: a read takes `readMs`, and longer in proportion when more than
 * `maxParallelReads` run at the same time.
 */
export class WeightStandin {
  private activeReads = 0;

  private constructor(
    private readonly readMs: number,
    private readonly maxParallelReads: number,
  ) {}

  /** Adds the weight store's route to a server. */
  static create(
    app: FastifyInstance,
    options: { readonly readMs: number; readonly maxParallelReads: number },
  ): WeightStandin {
    const store = new WeightStandin(options.readMs, options.maxParallelReads);
    app.get('/v1/weights/:model/:version', async (request, reply) => {
      const { model, version } = paramsSchema.parse(request.params);
      await store.waitForTurn();
      const seed = computeSha256Hex(`${model}/${version}`);
      return reply.send(Buffer.alloc(WEIGHT_BYTES, seed, 'hex'));
    });
    return store;
  }

  private async waitForTurn(): Promise<void> {
    this.activeReads += 1;
    try {
      await waitMs(this.readMs * Math.max(1, this.activeReads / this.maxParallelReads));
    } finally {
      this.activeReads -= 1;
    }
  }
}
