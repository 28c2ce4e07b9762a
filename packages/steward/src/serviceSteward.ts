import { type Clock, createId, type Logger } from '@lovagearch/common';
import type { ConfigurationView } from '@lovagearch/configuration';
import type { EngineClient } from '@lovagearch/engine-client';
import type { LeaseRunner } from '@lovagearch/leases';
import type { Vm } from '@lovagearch/platform-client';
import { MAX_CONCURRENT_STATUS_CALLS, ORDER_TIME_LIMIT_MS } from './constants.js';
import { computeLoadShare } from './loadShare.js';
import { type PlannedOrder, planOrders, type RunnerState } from './planOrders.js';

export interface ServiceStewardOptions {
  readonly service: string;
  readonly region: string;
  readonly lease: LeaseRunner;
  readonly engines: EngineClient;
  readonly clock: Clock;
  readonly serviceToken: string;
  readonly log: Logger;
}

const getUrl = (vm: Vm): string => `http://${vm.host}:${vm.ports.main}`;

/** Counts the runners of a service in each region. */
export const getRunnersByRegion = (vms: readonly Vm[], service: string): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const vm of vms) {
    if (vm.role !== 'runner' || vm.service !== service) continue;
    counts.set(vm.region, (counts.get(vm.region) ?? 0) + 1);
  }
  return counts;
};

/**
 * Orders the runners of one service and region while it holds their lease. All decisions come from
 * reported states, so orders that were lost or came from an old holder are corrected.
 */
export class ServiceSteward {
  private fencing: number | undefined;

  /** Clock reading before which an earlier order may still arrive. */
  private quietUntilMs = 0;

  private constructor(private readonly options: ServiceStewardOptions) {}

  static create(options: ServiceStewardOptions): ServiceSteward {
    return new ServiceSteward(options);
  }

  /** Compares reported and desired states once and sends the orders. It never rejects. */
  async runCycle(view: ConfigurationView, vms: readonly Vm[]): Promise<void> {
    const { lease, clock, service, region } = this.options;
    const fencing = lease.getFencingToken();
    if (fencing !== this.fencing) {
      this.fencing = fencing;
      this.quietUntilMs = clock.nowMs() + ORDER_TIME_LIMIT_MS;
    }
    const found = view.getService(service);
    if (fencing === undefined || found?.type !== 'model') return;
    const runners = vms.filter(
      (vm) => vm.role === 'runner' && vm.service === service && vm.region === region,
    );
    // States that are read before the quiet time ends may miss an order that is on its way.
    if (clock.nowMs() < this.quietUntilMs) return;
    const states = await this.readStates(runners);
    const maxLoads = computeLoadShare(
      found.maxConcurrentLoads,
      getRunnersByRegion(vms, service),
      region,
    );
    const orders = planOrders({ models: view.listModels(service), runners: states, maxLoads });
    await this.sendOrders(orders, runners, fencing);
  }

  private async readStates(runners: readonly Vm[]): Promise<readonly RunnerState[]> {
    const states: RunnerState[] = [];
    for (let start = 0; start < runners.length; start += MAX_CONCURRENT_STATUS_CALLS) {
      const part = runners.slice(start, start + MAX_CONCURRENT_STATUS_CALLS);
      states.push(...(await Promise.all(part.map((vm) => this.readState(vm)))));
    }
    return states;
  }

  private async readState(vm: Vm): Promise<RunnerState> {
    const { engines, serviceToken, lease } = this.options;
    const read = await engines.readStatus({ url: getUrl(vm), serviceToken });
    // The VM list lags; an address may already belong to another engine.
    const status = read.isOk() && read.value.endpointId === vm.id ? read.value : undefined;
    if (status !== undefined) lease.updateHighestFencingToken(status.fencing);
    return { id: vm.id, isLeaving: vm.state === 'leaving', status };
  }

  private async sendOrders(
    orders: readonly PlannedOrder[],
    runners: readonly Vm[],
    fencing: number,
  ): Promise<void> {
    const { lease, log, service } = this.options;
    for (const order of orders) {
      const vm = runners.find(({ id }) => id === order.runner);
      if (vm === undefined) continue;
      if (!lease.isHeldFor(ORDER_TIME_LIMIT_MS) || lease.getFencingToken() !== fencing) {
        log.warn(`The lease of ${service} is too short for another order.`);
        return;
      }
      if (!(await this.sendOrder(vm, order, fencing))) return;
    }
  }

  /** Returns whether the outcome of the order is known. */
  private async sendOrder(vm: Vm, order: PlannedOrder, fencing: number): Promise<boolean> {
    const { engines, serviceToken, clock, log } = this.options;
    const { type, model, weightVersion } = order;
    const orderId = createId('order');
    log.info(`Runner ${vm.id}: ${type} ${model} ${weightVersion} with token ${fencing}.`);
    const sent = await engines.sendOrder(
      { url: getUrl(vm), serviceToken },
      { orderId, fencing, type, model, weightVersion },
    );
    if (sent.isOk()) return true;
    log.warn(`Runner ${vm.id}: the order failed: ${sent.error.type}.`);
    if (sent.error.type === 'refused' || sent.error.type === 'not_connected') return true;
    // The order may still take effect; the next plan waits until its state must be visible.
    this.quietUntilMs = clock.nowMs() + ORDER_TIME_LIMIT_MS;
    return false;
  }
}
