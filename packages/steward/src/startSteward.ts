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
import { ConfigurationPoller } from './configurationPoller.js';
import {
  RECONCILE_INTERVAL_MS,
  HEAD_POLL_INTERVAL_MS,
  HEAD_POLL_JITTER_FRACTION,
  LEASE_CHECK_INTERVAL_MS,
  VM_LIST_CHECK_INTERVAL_MS,
} from './constants.js';
import { PeriodicTask } from './periodicTask.js';
import { countRunnersByRegion, ServiceReconciler } from './serviceReconciler.js';
import { shouldReadVmList } from './vmListReadPolicy.js';

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

interface ManagedService {
  readonly lease: LeaseRunner;
  readonly reconciler: ServiceReconciler;
}

/**
 * The steward of one region. It has a lease and a `ServiceReconciler` for each model service with
 * runners in the region.
 */
export class Steward {
  private vms: readonly Vm[] = [];

  private readonly managedServices = new Map<string, ManagedService>();

  private readonly tasks: PeriodicTask[] = [];

  private vmListReadAtMs = -Infinity;

  private constructor(
    private readonly options: StewardOptions,
    private readonly configurationPoller: ConfigurationPoller,
  ) {}

  static create(options: StewardOptions): Steward {
    const { table, objects, log } = options;
    return new Steward(options, ConfigurationPoller.create(table, objects, log));
  }

  start(): void {
    const computeHeadPollDelayMs = () =>
      HEAD_POLL_INTERVAL_MS * (1 + HEAD_POLL_JITTER_FRACTION * (2 * this.options.random() - 1));
    this.tasks.push(
      PeriodicTask.start(() => this.configurationPoller.poll(), computeHeadPollDelayMs),
      PeriodicTask.start(
        () => this.refreshVmList(),
        () => VM_LIST_CHECK_INTERVAL_MS,
      ),
      PeriodicTask.start(
        () => this.runLeases(),
        () => LEASE_CHECK_INTERVAL_MS,
      ),
      PeriodicTask.start(
        () => this.reconcileServices(),
        () => RECONCILE_INTERVAL_MS,
      ),
    );
  }

  /** Waits for orders in progress, then releases all leases. */
  async stop(): Promise<void> {
    await Promise.all(this.tasks.map((task) => task.stop()));
    await Promise.all([...this.managedServices.values()].map(({ lease }) => lease.release()));
  }

  private async refreshVmList(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    const hasLease = [...this.managedServices.values()].some(
      ({ lease }) => lease.getFencingToken() !== undefined,
    );
    if (!shouldReadVmList(this.vms.length, hasLease, nowMs - this.vmListReadAtMs)) return;
    const read = await this.options.vmList.read();
    if (read.isOk()) {
      this.vms = read.value;
      this.vmListReadAtMs = nowMs;
    } else this.options.log.warn(`Failed to read the VM list: ${read.error.message}.`);
  }

  /**
   * Adds the model services that have runners in this region, and releases the leases of services
   * that no longer have any.
   */
  private async updateManagedServices(): Promise<void> {
    const requiredServices = new Set<string>();
    for (const service of this.configurationPoller.view.listServices()) {
      if (service.type !== 'model') continue;
      const runners = countRunnersByRegion(this.vms, service.name).get(this.options.region) ?? 0;
      if (runners > 0) requiredServices.add(service.name);
    }
    for (const name of requiredServices) {
      if (!this.managedServices.has(name))
        this.managedServices.set(name, this.createManagedService(name));
    }
    for (const [name, { lease }] of this.managedServices) {
      if (requiredServices.has(name)) continue;
      this.managedServices.delete(name);
      await lease.release();
    }
  }

  private createManagedService(service: string): ManagedService {
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
    return { lease, reconciler: ServiceReconciler.create(options) };
  }

  private async runLeases(): Promise<void> {
    await this.updateManagedServices();
    const leases = [...this.managedServices.values()].map(({ lease }) => lease.runDueSteps());
    await Promise.all(leases);
  }

  private async reconcileServices(): Promise<void> {
    const { view } = this.configurationPoller;
    const cycles = [...this.managedServices.values()].map(({ reconciler }) =>
      reconciler.reconcile(view, this.vms),
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
