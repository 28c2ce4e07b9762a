import { setTimeout as waitMs } from 'node:timers/promises';
import { type Clock, getErrorMessage } from '@lovagearch/common';
import {
  ANNOUNCE_LEAD_MS,
  LEASE_ACQUIRE_JITTER_MS,
  ORDER_TIMEOUT_MS,
  ORDER_RETRY_DELAY_MS,
  REPORT_POLL_INTERVAL_MS,
  ROLLOUT_MARGIN_MS,
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
      /** When the endpoint was first seen without requests. */
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

/** A weight version and when this process learned that it was named. */
export interface NamedTarget extends WeightTarget {
  readonly sinceMs: number;
}

export interface RolloutOptions {
  readonly lease: OrderLease;
  readonly client: OrderClient;
  readonly clock: Clock;
  readonly random: () => number;
  readonly listEndpoints: () => readonly RolloutEndpoint[];
  readonly listTargets: () => readonly NamedTarget[];
  /** Time from the naming of weights until all endpoints have to have them, in milliseconds. */
  readonly timeLimitMs: number;
  readonly onEvent: (event: RolloutEvent) => void;
  /** Called when an endpoint reports weights, which is sooner than its registration does. */
  readonly onWeightsReported: (
    endpoint: RolloutEndpoint,
    weights: ReadonlyMap<string, number>,
  ) => void;
}

/**
 * Brings endpoints to the weight versions that operators name. All nodes run it; the holder of the
 * lease gives orders, the others wait until the lease is free.
 */
export class RolloutCoordinator {
  private readonly updating = new Set<string>();

  private isStopped = false;

  /** Confirmations go one after another, as each needs the row version of the one before. */
  private lastConfirmation: Promise<unknown> = Promise.resolve();

  private acquireNotBeforeMs = 0;

  private hadPlannedOrders = false;

  private constructor(private readonly parts: RolloutOptions) {}

  static create(parts: RolloutOptions): RolloutCoordinator {
    return new RolloutCoordinator(parts);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Runs until `stop` is called. It never throws. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await waitMs(ROLLOUT_INTERVAL_MS, undefined, { ref: false });
      if (!this.isStopped) await this.runOnce();
    }
  }

  private async runOnce(): Promise<void> {
    const { listEndpoints, listTargets, lease, clock, random } = this.parts;
    const { updating: changing } = this;
    const targets = listTargets();
    const oldestMs = Math.min(...targets.map(({ sinceMs }) => sinceMs));
    const leftMs = oldestMs + this.parts.timeLimitMs - ROLLOUT_MARGIN_MS - clock.nowMs();
    const planned = planOrders({
      endpoints: listEndpoints(),
      targets,
      updating: changing,
      remainingMs: leftMs,
    });
    if (planned.length === 0) {
      this.hadPlannedOrders = changing.size > 0;
      return;
    }
    if (!this.hadPlannedOrders) {
      this.hadPlannedOrders = true;
      // The last holder goes first; the others would only collide with it.
      this.acquireNotBeforeMs =
        clock.nowMs() + (lease.isHolder ? 0 : random() * LEASE_ACQUIRE_JITTER_MS);
    }
    if (clock.nowMs() < this.acquireNotBeforeMs) return;
    if (!lease.isHolder && (await this.confirmLease(undefined)) === undefined) return;
    for (const order of planned) {
      if (!lease.isHolder) return;
      changing.add(order.endpoint.id);
      this.runOrder(order)
        .catch((error: unknown) => {
          const reason = getErrorMessage(error);
          const { endpoint, target } = order;
          const { version } = target;
          this.parts.onEvent({ type: 'unfinished', endpointId: endpoint.id, version, reason });
        })
        .finally(() => changing.delete(order.endpoint.id));
    }
  }

  private confirmLease(order: PlannedOrder | undefined) {
    const { lease } = this.parts;
    const announced =
      order === undefined ? undefined : { endpointId: order.endpoint.id, ...order.target };
    const next = this.lastConfirmation.then(() => lease.confirm(announced));
    this.lastConfirmation = next.catch(() => undefined);
    return next;
  }

  /** Gives one order and follows it until it shows or its time is up. */
  private async runOrder(order: PlannedOrder): Promise<void> {
    const { clock, onEvent } = this.parts;
    const { endpoint, target } = order;
    const startMs = clock.nowMs();
    let isOrdered = false;
    let runsEndedMs: number | undefined;
    while (!this.isStopped && clock.nowMs() - startMs < ORDER_TIMEOUT_MS) {
      const report = await this.parts.client.readReport(endpoint);
      if (report !== undefined) this.parts.onWeightsReported(endpoint, report.weights);
      if (report?.requests === 0) runsEndedMs ??= clock.nowMs() - startMs;
      if (report === undefined) await waitMs(ORDER_RETRY_DELAY_MS);
      else if ((report.weights.get(target.model) ?? 0) >= target.version) {
        onEvent({
          type: 'finished',
          endpointId: endpoint.id,
          version: target.version,
          tookMs: Math.round(clock.nowMs() - startMs),
          runsEndedMs: runsEndedMs === undefined ? undefined : Math.round(runsEndedMs),
        });
        return;
      } else if (report.isBusy) await waitMs(REPORT_POLL_INTERVAL_MS);
      else {
        const result = await this.sendConfirmedOrder(order, report.acceptedOrders);
        if (result === undefined || result.type === 'fenced') return;
        isOrdered ||= result.type === 'accepted';
        await waitMs(result.type === 'accepted' ? REPORT_POLL_INTERVAL_MS : ORDER_RETRY_DELAY_MS);
      }
    }
    const reason = isOrdered ? 'no effect in time' : 'no order accepted in time';
    onEvent({ type: 'unfinished', endpointId: endpoint.id, version: target.version, reason });
  }

  private async sendConfirmedOrder(
    order: PlannedOrder,
    ifAcceptedOrders: number,
  ): Promise<OrderResult | undefined> {
    const { lease, client, onEvent } = this.parts;
    const { endpoint, target } = order;
    if ((await this.confirmLease(order)) === undefined) return undefined;
    await waitMs(ANNOUNCE_LEAD_MS);
    // Read again right before the effect: the process may have been suspended meanwhile.
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
