import { type Clock, createId, type Logger, type Random } from '@lovagearch/common';
import type { EngineClient } from '@lovagearch/engine-client';
import {
  DEFAULT_LEASE_MS,
  DEFAULT_RENEWAL_INTERVAL_MS,
  DEFAULT_WATCH_INTERVAL_MS,
  getLeaseKey,
  LeaseRunner,
  MAX_TAKEOVER_DELAY_MS,
} from '@lovagearch/leases';
import type { ObjectClient, TableClient, Vm, VmListClient } from '@lovagearch/platform-client';
import { ConfigurationWatch } from './configurationWatch.js';
import {
  CYCLE_INTERVAL_MS,
  HEAD_INTERVAL_MS,
  HEAD_JITTER,
  LEASE_CHECK_INTERVAL_MS,
  VM_LIST_INTERVAL_MS,
} from './constants.js';
import { RepeatingTask } from './repeatingTask.js';
import { getRunnersByRegion, ServiceSteward } from './serviceSteward.js';
import { isVmListDue } from './vmListPace.js';

export interface StewardOptions {
  /** Lease holder ID, unique for each start of the process. */
  readonly id: string;
  readonly region: string;
  readonly serviceToken: string;
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly vmList: VmListClient;
  readonly engines: EngineClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

interface Stewardship {
  readonly lease: LeaseRunner;
  readonly steward: ServiceSteward;
}

/**
 * The steward of one region. It has a lease and a `ServiceReconciler` for each model service with
 * runners in the region.
 */
export class Steward {
  private vms: readonly Vm[] = [];

  private readonly stewardships = new Map<string, Stewardship>();

  private readonly tasks: RepeatingTask[] = [];

  private vmsReadMs = -Infinity;

  private constructor(
    private readonly options: StewardOptions,
    private readonly configuration: ConfigurationWatch,
  ) {}

  static create(options: StewardOptions): Steward {
    const { table, objects, log } = options;
    return new Steward(options, ConfigurationWatch.create(table, objects, log));
  }

  start(): void {
    const getHeadPauseMs = () =>
      HEAD_INTERVAL_MS * (1 + HEAD_JITTER * (2 * this.options.random() - 1));
    this.tasks.push(
      RepeatingTask.start(() => this.configuration.runCycle(), getHeadPauseMs),
      RepeatingTask.start(
        () => this.readVms(),
        () => VM_LIST_INTERVAL_MS,
      ),
      RepeatingTask.start(
        () => this.runLeases(),
        () => LEASE_CHECK_INTERVAL_MS,
      ),
      RepeatingTask.start(
        () => this.runStewards(),
        () => CYCLE_INTERVAL_MS,
      ),
    );
  }

  /** Waits for orders in progress, then releases all leases. */
  async stop(): Promise<void> {
    await Promise.all(this.tasks.map((task) => task.stop()));
    await Promise.all([...this.stewardships.values()].map(({ lease }) => lease.release()));
  }

  private async readVms(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    const hasLease = [...this.stewardships.values()].some(
      ({ lease }) => lease.getFencingToken() !== undefined,
    );
    if (!isVmListDue(this.vms.length, hasLease, nowMs - this.vmsReadMs)) return;
    const read = await this.options.vmList.read();
    if (read.isOk()) {
      this.vms = read.value;
      this.vmsReadMs = nowMs;
    } else this.options.log.warn(`Failed to read the VM list: ${read.error.message}.`);
  }

  /**
   * Adds the model services that have runners in this region, and releases the leases of services
   * that no longer have any.
   */
  private async updateStewardships(): Promise<void> {
    const wanted = new Set<string>();
    for (const service of this.configuration.view.listServices()) {
      if (service.type !== 'model') continue;
      const runners = getRunnersByRegion(this.vms, service.name).get(this.options.region) ?? 0;
      if (runners > 0) wanted.add(service.name);
    }
    for (const name of wanted) {
      if (!this.stewardships.has(name)) this.stewardships.set(name, this.createStewardship(name));
    }
    for (const [name, { lease }] of this.stewardships) {
      if (wanted.has(name)) continue;
      this.stewardships.delete(name);
      await lease.release();
    }
  }

  private createStewardship(service: string): Stewardship {
    const { id, region, table, clock, random, engines, serviceToken, log } = this.options;
    const lease = LeaseRunner.create({
      table,
      clock,
      key: getLeaseKey(service, region),
      holder: id,
      times: {
        durationMs: DEFAULT_LEASE_MS,
        renewalIntervalMs: DEFAULT_RENEWAL_INTERVAL_MS,
        watchIntervalMs: DEFAULT_WATCH_INTERVAL_MS,
        takeoverDelayMs: random() * MAX_TAKEOVER_DELAY_MS,
      },
      createAttemptId: () => createId('lease'),
    });
    const options = { service, region, lease, engines, clock, serviceToken, log };
    return { lease, steward: ServiceSteward.create(options) };
  }

  private async runLeases(): Promise<void> {
    await this.updateStewardships();
    const leases = [...this.stewardships.values()].map(({ lease }) => lease.runDueSteps());
    await Promise.all(leases);
  }

  private async runStewards(): Promise<void> {
    const { view } = this.configuration;
    const cycles = [...this.stewardships.values()].map(({ steward }) =>
      steward.runCycle(view, this.vms),
    );
    await Promise.all(cycles);
  }
}

/**
 * Creates a steward and starts its periodic tasks.
 *
 * @returns the running steward; `stop` releases its leases
 * @example
 * const steward = startSteward({ id, region, serviceToken, table, objects, vmList, engines, clock,
 *   random, log });
 */
export const startSteward = (options: StewardOptions): Steward => {
  const steward = Steward.create(options);
  steward.start();
  return steward;
};
