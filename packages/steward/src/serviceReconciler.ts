import { type Clock, createId, type Logger } from '@lovagearch/common';
import type { ConfigurationView } from '@lovagearch/configuration';
import type { EngineClient } from '@lovagearch/engine-client';
import type { LeaseRunner } from '@lovagearch/leases';
import type { Vm } from '@lovagearch/platform-client';
import { MAX_CONCURRENT_STATUS_CALLS, ORDER_DELIVERY_TIMEOUT_MS } from './constants.js';
import { computeRegionalLoadLimit } from './regionalLoadLimit.js';
import { type PlannedOrder, planOrders, type RunnerState } from './planOrders.js';

export interface ServiceReconcilerOptions {
  readonly service: string;
  readonly region: string;
  readonly lease: LeaseRunner;
  readonly engines: EngineClient;
  readonly clock: Clock;
  readonly serviceToken: string;
  readonly log: Logger;
}

const getEngineUrl = (vm: Vm): string => `http://${vm.host}:${vm.ports.main}`;

/** Counts the runners of a service in each region. */
export const countRunnersByRegion = (vms: readonly Vm[], service: string): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const vm of vms) {
    if (vm.role !== 'runner' || vm.service !== service) continue;
    counts.set(vm.region, (counts.get(vm.region) ?? 0) + 1);
  }
  return counts;
};

/**
 * Reconciles the runners of one service in one region with the configuration while this process
 * holds their lease. Plans are computed only from the states that runners report, so the next cycle
 * corrects orders that were lost or that an earlier lease holder sent.
 */
export class ServiceReconciler {
  private lastFencingToken: number | undefined;

  /** Clock time from which no order that was sent earlier can still arrive. */
  private ordersSettledAtMs = 0;

  private constructor(private readonly options: ServiceReconcilerOptions) {}

  static create(options: ServiceReconcilerOptions): ServiceReconciler {
    return new ServiceReconciler(options);
  }

  /** Compares the reported with the desired states once and sends orders. Never rejects. */
  async reconcile(view: ConfigurationView, vms: readonly Vm[]): Promise<void> {
    const { lease, clock, service, region } = this.options;
    const fencing = lease.getFencingToken();
    if (fencing !== this.lastFencingToken) {
      this.lastFencingToken = fencing;
      this.ordersSettledAtMs = clock.nowMs() + ORDER_DELIVERY_TIMEOUT_MS;
    }
    const serviceEntry = view.getService(service);
    if (fencing === undefined || serviceEntry?.type !== 'model') return;
    const runners = vms.filter(
      (vm) => vm.role === 'runner' && vm.service === service && vm.region === region,
    );
    // States read before this time may not reflect an order that is still in flight.
    if (clock.nowMs() < this.ordersSettledAtMs) return;
    const states = await this.readRunnerStates(runners);
    const maxLoads = computeRegionalLoadLimit(
      serviceEntry.maxConcurrentLoads,
      countRunnersByRegion(vms, service),
      region,
    );
    const orders = planOrders({ models: view.listModels(service), runners: states, maxLoads });
    await this.sendOrders(orders, runners, fencing);
  }

  private async readRunnerStates(runners: readonly Vm[]): Promise<readonly RunnerState[]> {
    const states: RunnerState[] = [];
    for (let start = 0; start < runners.length; start += MAX_CONCURRENT_STATUS_CALLS) {
      const batch = runners.slice(start, start + MAX_CONCURRENT_STATUS_CALLS);
      states.push(...(await Promise.all(batch.map((vm) => this.readRunnerState(vm)))));
    }
    return states;
  }

  private async readRunnerState(vm: Vm): Promise<RunnerState> {
    const { engines, serviceToken, lease } = this.options;
    const read = await engines.readStatus({ url: getEngineUrl(vm), serviceToken });
    // The VM list lags behind, so the address may already belong to another engine.
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
      const vm = runners.find(({ id }) => id === order.runnerId);
      if (vm === undefined) continue;
      if (!lease.isHeldFor(ORDER_DELIVERY_TIMEOUT_MS) || lease.getFencingToken() !== fencing) {
        log.warn(`The lease of ${service} expires too soon to send another order, or was lost.`);
        return;
      }
      if (!(await this.sendOrder(vm, order, fencing))) return;
    }
  }

  /** Sends an order and returns whether its outcome is known. */
  private async sendOrder(vm: Vm, order: PlannedOrder, fencing: number): Promise<boolean> {
    const { engines, serviceToken, clock, log } = this.options;
    const { type, model, weightVersion } = order;
    const orderId = createId('order');
    log.info(
      `Ordering runner ${vm.id} to ${type} ${model} ${weightVersion} with fencing token ${fencing}.`,
    );
    const sent = await engines.sendOrder(
      { url: getEngineUrl(vm), serviceToken },
      { orderId, fencing, type, model, weightVersion },
    );
    if (sent.isOk()) return true;
    log.warn(`Order to runner ${vm.id} failed: ${sent.error.type}.`);
    if (sent.error.type === 'refused' || sent.error.type === 'not_connected') return true;
    // The order may still take effect, so the next plan waits until it can no longer arrive.
    this.ordersSettledAtMs = clock.nowMs() + ORDER_DELIVERY_TIMEOUT_MS;
    return false;
  }
}
