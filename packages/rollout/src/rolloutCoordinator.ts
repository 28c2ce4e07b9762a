import { setTimeout as waitForTimer } from 'node:timers/promises';
import { type Clock, getErrorMessage } from '@lovagearch/common';
import {
  ANNOUNCE_LEAD_MS,
  LEASE_ACQUIRE_JITTER_MS,
  ORDER_TIMEOUT_MS,
  ORDER_RETRY_DELAY_MS,
  REPORT_POLL_INTERVAL_MS,
  ROLLOUT_INTERVAL_MS,
} from './constants.js';
import type { OrderLease } from './orderLease.js';
import { type PlannedOrder, planOrders } from './planOrders.js';
import type { OrderClient, OrderResult, RolloutEndpoint, WeightTarget } from './types.js';

export type RolloutEvent =
  | {
      readonly type: 'finished';
      readonly endpointId: string;
      readonly version: number;
      readonly tookMs: number;
      /** Time from the start of the order until the endpoint first reported no requests. */
      readonly runsEndedMs: number | undefined;
    }
  | {
      readonly type: 'ordered';
      readonly endpointId: string;
      readonly version: number;
      readonly fencing: number;
      readonly result: OrderResult;
    }
  | {
      readonly type: 'unfinished';
      readonly endpointId: string;
      readonly version: number;
      readonly reason: string;
    };

export interface RolloutOptions {
  readonly lease: OrderLease;
  readonly client: OrderClient;
  readonly clock: Clock;
  readonly random: () => number;
  readonly listEndpoints: () => readonly RolloutEndpoint[];
  readonly listTargets: () => readonly WeightTarget[];
  /** Whether an endpoint gets no requests; by default none is. */
  readonly isEvacuated?: (endpoint: RolloutEndpoint) => boolean;
  /** Returns the time for which requests may still start on a version of a model, in milliseconds. */
  readonly getRemainingMs: (model: string, version: number) => number;
  readonly onEvent: (event: RolloutEvent) => void;
  /**
   * Called when an endpoint reports its weights, which happens before its registration shows them.
   */
  readonly onWeightsReported: (
    endpoint: RolloutEndpoint,
    weights: ReadonlyMap<string, number>,
  ) => void;
  /** Timer, by default that of the process; simulations replace it. */
  readonly wait?: (delayMs: number) => Promise<void>;
  /** Called when an endpoint reports that it is leaving; the order to it ends. */
  readonly onLeavingReported: (endpoint: RolloutEndpoint) => void;
}

/**
 * Updates endpoints to the weight versions that operators publish. All nodes run it; the holder of
 * the lease sends orders, the others wait until the lease is free.
 */
export class RolloutCoordinator {
  private readonly updating = new Set<string>();

  private isStopped = false;

  /** Serializes confirmations, since each needs the row version written by the previous one. */
  private lastConfirmation: Promise<unknown> = Promise.resolve();

  private acquireNotBeforeMs = 0;

  private hadPlannedOrders = false;

  private readonly wait: (delayMs: number) => Promise<void>;

  private constructor(private readonly options: RolloutOptions) {
    this.wait = options.wait ?? ((delayMs) => waitForTimer(delayMs, undefined, { ref: false }));
  }

  static create(options: RolloutOptions): RolloutCoordinator {
    return new RolloutCoordinator(options);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Runs until `stop` is called. It does not throw unless an injected callback does. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.wait(ROLLOUT_INTERVAL_MS);
      if (!this.isStopped) await this.runOnce();
    }
  }

  private async runOnce(): Promise<void> {
    const { listEndpoints, listTargets, isEvacuated, getRemainingMs, lease, clock, random } =
      this.options;
    const { updating } = this;
    const planned = planOrders({
      endpoints: listEndpoints(),
      targets: listTargets(),
      updating,
      ...(isEvacuated === undefined ? {} : { isEvacuated }),
      getRemainingMs,
    });
    if (planned.length === 0) {
      this.hadPlannedOrders = updating.size > 0;
      return;
    }
    if (!this.hadPlannedOrders) {
      this.hadPlannedOrders = true;
      // The last holder tries first, so that the others do not collide with it.
      this.acquireNotBeforeMs =
        clock.nowMs() + (lease.isHolder ? 0 : random() * LEASE_ACQUIRE_JITTER_MS);
    }
    if (clock.nowMs() < this.acquireNotBeforeMs) return;
    if (!lease.isHolder && (await this.confirmLease(undefined)) === undefined) return;
    for (const order of planned) {
      if (!lease.isHolder) return;
      updating.add(order.endpoint.id);
      this.runOrder(order)
        .catch((error: unknown) => {
          const reason = getErrorMessage(error);
          const { endpoint, target } = order;
          const { version } = target;
          this.options.onEvent({ type: 'unfinished', endpointId: endpoint.id, version, reason });
        })
        .finally(() => updating.delete(order.endpoint.id));
    }
  }

  private confirmLease(order: PlannedOrder | undefined) {
    const { lease } = this.options;
    const announced =
      order === undefined ? undefined : { endpointId: order.endpoint.id, ...order.target };
    const next = this.lastConfirmation.then(() => lease.confirm(announced));
    this.lastConfirmation = next.catch(() => undefined);
    return next;
  }

  /** Sends one order, retrying it until the endpoint has the weights or the order times out. */
  private async runOrder(order: PlannedOrder): Promise<void> {
    const { clock, onEvent } = this.options;
    const { endpoint, target } = order;
    const startMs = clock.nowMs();
    let isAccepted = false;
    let runsEndedMs: number | undefined;
    while (!this.isStopped && clock.nowMs() - startMs < ORDER_TIMEOUT_MS) {
      const report = await this.options.client.readReport(endpoint);
      if (report !== undefined) this.options.onWeightsReported(endpoint, report.weights);
      if (report?.isLeaving === true) {
        this.options.onLeavingReported(endpoint);
        const reason = 'endpoint is leaving';
        onEvent({ type: 'unfinished', endpointId: endpoint.id, version: target.version, reason });
        return;
      }
      if (report?.requests === 0) runsEndedMs ??= clock.nowMs() - startMs;
      if (report === undefined) await this.wait(ORDER_RETRY_DELAY_MS);
      else if ((report.weights.get(target.model) ?? 0) >= target.version) {
        onEvent({
          type: 'finished',
          endpointId: endpoint.id,
          version: target.version,
          tookMs: Math.round(clock.nowMs() - startMs),
          runsEndedMs: runsEndedMs === undefined ? undefined : Math.round(runsEndedMs),
        });
        return;
      } else if (report.isBusy) await this.wait(REPORT_POLL_INTERVAL_MS);
      else {
        const result = await this.sendConfirmedOrder(order, report.acceptedOrders);
        if (result === undefined || result.type === 'fenced') return;
        isAccepted ||= result.type === 'accepted';
        await this.wait(
          result.type === 'accepted' ? REPORT_POLL_INTERVAL_MS : ORDER_RETRY_DELAY_MS,
        );
      }
    }
    const reason = isAccepted ? 'no effect in time' : 'no order accepted in time';
    onEvent({ type: 'unfinished', endpointId: endpoint.id, version: target.version, reason });
  }

  private async sendConfirmedOrder(
    order: PlannedOrder,
    ifAcceptedOrders: number,
  ): Promise<OrderResult | undefined> {
    const { lease, client, onEvent } = this.options;
    const { endpoint, target } = order;
    if ((await this.confirmLease(order)) === undefined) return undefined;
    await this.wait(ANNOUNCE_LEAD_MS);
    // Checked again right before sending, since the VM may have been suspended while waiting.
    const permit = lease.getPermit();
    if (permit === undefined) return undefined;
    const result = await client.sendOrder({
      endpoint,
      target,
      holder: lease.holder,
      fencing: permit.fencing,
      ifAcceptedOrders,
    });
    onEvent({
      type: 'ordered',
      endpointId: endpoint.id,
      version: target.version,
      fencing: permit.fencing,
      result,
    });
    return result;
  }
}
