import { setTimeout as waitMs } from 'node:timers/promises';
import { request } from 'undici';
import { z } from 'zod';
import type { Cluster } from './cluster.js';
import { assertProof } from './proofCase.js';
import { waitUntil } from './waiting.js';

/** Interval of the observation; a load takes 900 ms, so none is missed. */
const OBSERVE_INTERVAL_MS = 40;

const statusSchema = z.object({
  state: z.string(),
  models: z.array(z.object({ model: z.string(), weightVersion: z.string() })),
  loading: z.array(z.object({ model: z.string(), weightVersion: z.string() })),
});
type Status = z.infer<typeof statusSchema>;

const ordersSchema = z.array(
  z.object({ fencing: z.number(), type: z.string(), isAccepted: z.boolean(), ageMs: z.number() }),
);
export type SeenOrder = z.infer<typeof ordersSchema>[number];

/** Watches the states of all engines during a whole case. */
export class OrderObserver {
  /** Largest number of loads that ran at once. */
  mostLoads = 0;

  /** Smallest number of engines that were ready and loaded nothing. */
  leastReady = Infinity;

  private isStopped = false;

  private readonly running: Promise<void>;

  private constructor(
    private readonly cluster: Cluster,
    private readonly engines: readonly string[],
  ) {
    this.running = this.run();
  }

  static start(cluster: Cluster, engines: readonly string[]): OrderObserver {
    const observer = new OrderObserver(cluster, engines);
    // Awaited by `stop`; a failure before must not end the process.
    observer.running.catch(() => undefined);
    return observer;
  }

  /** Waits until every engine has only a weight version and loads nothing. */
  async waitForVersion(version: string, timeoutMs: number): Promise<number> {
    return waitUntil(`all engines have ${version}`, timeoutMs, async () => {
      const statuses = await this.readStatuses();
      return statuses.every(
        ({ models, loading }) =>
          loading.length === 0 &&
          models.length > 0 &&
          models.every(({ weightVersion }) => weightVersion === version),
      );
    });
  }

  /** Waits until an engine loads, so that a fault can begin in the middle of a swap. */
  async waitForLoad(timeoutMs: number): Promise<void> {
    await waitUntil('an engine loads', timeoutMs, async () =>
      (await this.readStatuses()).some(({ loading }) => loading.length > 0),
    );
  }

  async readOrders(engine: string): Promise<readonly SeenOrder[]> {
    return ordersSchema.parse(await this.cluster.readControl(engine, 'orders'));
  }

  /** Ends the observation and checks the limits that hold during a whole case. */
  async stop(maxLoads: number): Promise<string> {
    this.isStopped = true;
    await this.running;
    assertProof(this.mostLoads <= maxLoads, `${this.mostLoads} loads ran at once, not ${maxLoads}`);
    assertProof(this.leastReady >= 1, 'no engine was ready');
    return `at most ${this.mostLoads} loads at once, at least ${this.leastReady} engines ready`;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const statuses = await this.readStatuses();
      const loads = statuses.reduce((sum, { loading }) => sum + loading.length, 0);
      const ready = statuses.filter(
        ({ state, loading }) => state === 'ready' && loading.length === 0,
      ).length;
      this.mostLoads = Math.max(this.mostLoads, loads);
      this.leastReady = Math.min(this.leastReady, ready);
      await waitMs(OBSERVE_INTERVAL_MS);
    }
  }

  private async readStatuses(): Promise<Status[]> {
    return Promise.all(
      this.engines.map(async (id) => {
        const { process: started } = this.cluster.getVm(id);
        const response = await request(`${started.url()}/v1/status`, {
          headers: { authorization: `Bearer ${this.cluster.serviceToken}` },
        });
        return statusSchema.parse(await response.body.json());
      }),
    );
  }
}
