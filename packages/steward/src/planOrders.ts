import type { Model } from '@lovagearch/configuration';
import type { EngineStatus } from '@lovagearch/engine-client';
import { MIN_READY_SHARE } from './constants.js';

/** A runner from the VM list; `status` is undefined if it did not respond in this cycle. */
export interface RunnerState {
  readonly id: string;
  readonly isLeaving: boolean;
  readonly status: EngineStatus | undefined;
}

export interface PlannedOrder {
  readonly runner: string;
  readonly type: 'load' | 'unload';
  readonly model: string;
  readonly weightVersion: string;
}

export interface PlanInput {
  readonly models: readonly Model[];
  readonly runners: readonly RunnerState[];
  /** Maximum number of concurrent loads on these runners. */
  readonly maxLoads: number;
}

interface LiveRunner {
  readonly id: string;
  readonly status: EngineStatus;
}

const isLoading = ({ status }: LiveRunner): boolean =>
  status.state === 'loading' || status.loading.length > 0;

const isReady = ({ status }: LiveRunner): boolean =>
  status.state === 'ready' && status.loading.length === 0 && status.models.length > 0;

const hasModel = ({ status }: LiveRunner, model: string, weightVersion?: string): boolean =>
  status.models.some(
    (held) =>
      held.model === model && (weightVersion === undefined || held.weightVersion === weightVersion),
  );

const isLoadingModel = ({ status }: LiveRunner, model: string): boolean =>
  status.loading.some((load) => load.model === model);

/**
 * Computes how many of a model's runners must stay ready: at least one, and never so many that no
 * runner may be swapped where there are two or more.
 */
const getRequiredReady = (holders: number): number =>
  Math.max(1, Math.min(Math.ceil(holders * MIN_READY_SHARE), holders - 1));

/** A single planning pass. Runners that get a load order count as busy for the rest of the pass. */
class OrderPlan {
  readonly orders: PlannedOrder[] = [];

  private readonly live: LiveRunner[] = [];

  private readonly busy = new Set<string>();

  private loads = 0;

  constructor(private readonly input: PlanInput) {
    for (const { id, isLeaving, status } of input.runners) {
      if (status === undefined || status.state === 'draining') continue;
      const runner = { id, status };
      // A leaving runner gets no orders, but its load still uses the weight store.
      if (isLoading(runner)) this.loads += 1;
      if (!isLeaving) this.live.push(runner);
      if (isLoading(runner)) this.busy.add(id);
    }
    this.live.sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Adds loads on runners without models; they serve no requests, so no capacity is lost. */
  addIdleLoads(): void {
    const idle = this.live.filter(
      ({ id, status }) => status.models.length === 0 && !this.busy.has(id),
    );
    for (const runner of idle) {
      const model = this.chooseNeediestModel();
      if (model !== undefined) this.addLoad(runner, model);
    }
  }

  /** Adds loads that replace outdated versions where enough other runners stay ready. */
  addSwaps(model: Model): void {
    for (const runner of this.live) {
      const isOld =
        hasModel(runner, model.name) && !hasModel(runner, model.name, model.weightVersion);
      if (isOld && this.canTakeOut(runner)) this.addLoad(runner, model);
    }
  }

  /** Adds loads on runners that have other models only, until `minRunners` runners have this one. */
  addMissingRunners(model: Model): void {
    for (const runner of this.live) {
      if (this.countRunners(model) >= model.minRunners) return;
      const isOther = !hasModel(runner, model.name) && runner.status.models.length > 0;
      if (isOther && this.canTakeOut(runner)) this.addLoad(runner, model);
    }
  }

  /** Unloads other versions of a model from runners that already have the desired version. */
  addUnloads(model: Model): void {
    for (const runner of this.live) {
      if (this.busy.has(runner.id) || !hasModel(runner, model.name, model.weightVersion)) continue;
      for (const held of runner.status.models) {
        if (held.model !== model.name || held.weightVersion === model.weightVersion) continue;
        const { weightVersion } = held;
        this.orders.push({ runner: runner.id, type: 'unload', model: model.name, weightVersion });
      }
    }
  }

  private addLoad(runner: LiveRunner, { name, weightVersion }: Model): void {
    if (this.loads >= this.input.maxLoads || this.busy.has(runner.id)) return;
    this.orders.push({ runner: runner.id, type: 'load', model: name, weightVersion });
    this.busy.add(runner.id);
    this.loads += 1;
  }

  /** Returns whether each model on this runner keeps enough ready runners without it. */
  private canTakeOut(runner: LiveRunner): boolean {
    if (this.busy.has(runner.id)) return false;
    for (const { model } of runner.status.models) {
      const holders = this.live.filter(
        (other) => hasModel(other, model) || isLoadingModel(other, model),
      );
      const ready = holders.filter((other) => isReady(other) && !this.busy.has(other.id));
      const remaining = ready.filter((other) => other.id !== runner.id).length;
      // A runner that isn't ready serves no requests, so taking it out costs no capacity.
      if (isReady(runner) && remaining < getRequiredReady(holders.length)) return false;
    }
    return true;
  }

  private countRunners(model: Model): number {
    const ordered = this.orders.filter(
      (order) => order.type === 'load' && order.model === model.name,
    );
    const orderedIds = new Set(ordered.map(({ runner }) => runner));
    const holders = this.live.filter(
      (runner) =>
        hasModel(runner, model.name) ||
        isLoadingModel(runner, model.name) ||
        orderedIds.has(runner.id),
    );
    return holders.length;
  }

  private chooseNeediestModel(): Model | undefined {
    let best: { readonly model: Model; readonly surplus: number } | undefined;
    for (const model of this.input.models) {
      const surplus = this.countRunners(model) - model.minRunners;
      if (best === undefined || surplus < best.surplus) best = { model, surplus };
    }
    return best?.model;
  }
}

/**
 * Plans the orders of one reconciliation cycle from the reported states alone: loads on idle runners
 * first, then swaps to the desired weight versions, then loads of models with too few runners, and
 * finally unloads of other versions.
 *
 * @example
 * planOrders({ models, runners, maxLoads: 2 });
 * // [{ runnerId: 'r1', type: 'load', model: 'crop-8b', weightVersion: 'v3' }]
 */
export const planOrders = (input: PlanInput): readonly PlannedOrder[] => {
  const plan = new OrderPlan(input);
  plan.addIdleLoads();
  for (const model of input.models) plan.addSwaps(model);
  for (const model of input.models) plan.addMissingRunners(model);
  for (const model of input.models) plan.addUnloads(model);
  return plan.orders;
};
