import { processClock } from '@lovagearch/common';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { handlePlatformCall } from './platformCall.js';
import type { PlatformFaultState } from './platformFaults.js';
import { parseBody } from './standinServer.js';

/** Lists that wait for their lag to pass; the oldest is dropped beyond this. */
const MAX_PENDING_LISTS = 1_000;

export const vmSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'runner', 'service', 'store']),
  service: z.string().nullable(),
  host: z.string(),
  ports: z.record(z.string(), z.number().int()),
  zone: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type StandinVm = z.infer<typeof vmSchema>;
const controlSchema = z.object({ vms: z.array(vmSchema) });

/** The platform's VM list, which shows a change only after a lag. */
export class VmListStandin {
  private readonly pending: { readonly visibleAtMs: number; readonly vms: StandinVm[] }[] = [];

  private visible: StandinVm[];

  private constructor(
    initial: StandinVm[],
    private readonly lagMs: number,
  ) {
    this.visible = initial;
  }

  /** Adds the VM list's routes to a server. */
  static create(
    app: FastifyInstance,
    faults: PlatformFaultState,
    options: { readonly initial: StandinVm[]; readonly lagMs: number; readonly delayMs: number },
  ): VmListStandin {
    const list = new VmListStandin(options.initial, options.lagMs);
    app.put('/control/vms', async (request, reply) => {
      list.update(parseBody(controlSchema, request.body).vms);
      return reply.code(204).send();
    });
    const call = { part: 'vms', isWrite: false, delayMs: options.delayMs } as const;
    app.get('/v1/vms', async (_request, reply) =>
      handlePlatformCall(reply, faults, call, () => ({
        status: 200,
        body: { vms: list.read() },
      })),
    );
    return list;
  }

  private update(vms: StandinVm[]): void {
    this.pending.push({ visibleAtMs: processClock.nowMs() + this.lagMs, vms });
    if (this.pending.length > MAX_PENDING_LISTS) this.pending.shift();
  }

  private read(): StandinVm[] {
    for (;;) {
      const [next] = this.pending;
      if (next === undefined || next.visibleAtMs > processClock.nowMs()) return this.visible;
      this.visible = next.vms;
      this.pending.shift();
    }
  }
}
