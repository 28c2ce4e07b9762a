import type { Model } from '@lovagearch/configuration';
import type { EngineStatus } from '@lovagearch/engine-client';
import { MIN_READY_FRACTION } from './constants.js';

/** A runner from the VM list; `status` is undefined if it did not respond in this cycle. */
export interface RunnerState {
  readonly id: string;
  readonly isLeaving: boolean;
  readonly status: EngineStatus | undefined;
}

export interface PlannedOrder {
  readonly runnerId: string;
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

interface RespondingRunner {
  readonly id: string;
  readonly status: EngineStatus;
}

const isLoading = ({ status }: RespondingRunner): boolean =>
  status.state === 'loading' || status.loading.length > 0;

const isReady = ({ status }: RespondingRunner): boolean =>
  status.state === 'ready' && status.loading.length === 0 && status.models.length > 0;

const hasModel = ({ status }: RespondingRunner, model: string, weightVersion?: string): boolean =>
  status.models.some(
    (held) =>
      held.model === model && (weightVersion === undefined || held.weightVersion === weightVersion),
  );

const isLoadingModel = ({ status }: RespondingRunner, model: string): boolean =>
  status.loading.some((load) => load.model === model);

/**
 * Computes how many of a model's runners must stay ready: at least one, and never so many that no
 * runner may be swapped where there are two or more.
 */
const computeMinReadyRunners = (holderCount: number): number =>
  Math.max(1, Math.min(Math.ceil(holderCount * MIN_READY_FRACTION), holderCount - 1));

/** A single planning pass. Runners that get a load order count as busy for the rest of the pass. */
class OrderPlanner {
  readonly orders: PlannedOrder[] = [];

  private readonly eligibleRunners: RespondingRunner[] = [];

  private readonly busyRunnerIds = new Set<string>();

  private activeLoadCount = 0;

  constructor(private readonly input: PlanInput) {
    for (const { id, isLeaving, status } of input.runners) {
      if (status === undefined || status.state === 'draining') continue;
      const runner = { id, status };
      // A leaving runner gets no orders, but its load still uses the weight store.
      if (isLoading(runner)) this.activeLoadCount += 1;
      if (!isLeaving) this.eligibleRunners.push(runner);
      if (isLoading(runner)) this.busyRunnerIds.add(id);
    }
    this.eligibleRunners.sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Adds loads on runners without models; they serve no requests, so no capacity is lost. */
  addIdleLoads(): void {
    const idle = this.eligibleRunners.filter(
      ({ id, status }) => status.models.length === 0 && !this.busyRunnerIds.has(id),
    );
    for (const runner of idle) {
      const model = this.findModelWithLeastSurplus();
      if (model !== undefined) this.addLoad(runner, model);
    }
  }

  /** Adds loads that replace outdated versions where enough other runners stay ready. */
  addVersionSwaps(model: Model): void {
    for (const runner of this.eligibleRunners) {
      const hasOutdatedVersion =
        hasModel(runner, model.name) && !hasModel(runner, model.name, model.weightVersion);
      if (hasOutdatedVersion && this.canTakeOutOfService(runner)) this.addLoad(runner, model);
    }
  }

  /** Adds loads on runners that have other models only, until `minRunners` runners have this one. */
  addMissingReplicas(model: Model): void {
    for (const runner of this.eligibleRunners) {
      if (this.countReplicas(model) >= model.minRunners) return;
      const hasOnlyOtherModels = !hasModel(runner, model.name) && runner.status.models.length > 0;
      if (hasOnlyOtherModels && this.canTakeOutOfService(runner)) this.addLoad(runner, model);
    }
  }

  /** Unloads other versions of a model from runners that already have the desired version. */
  addUnloads(model: Model): void {
    for (const runner of this.eligibleRunners) {
      if (this.busyRunnerIds.has(runner.id) || !hasModel(runner, model.name, model.weightVersion))
        continue;
      for (const held of runner.status.models) {
        if (held.model !== model.name || held.weightVersion === model.weightVersion) continue;
        const { weightVersion } = held;
        this.orders.push({ runnerId: runner.id, type: 'unload', model: model.name, weightVersion });
      }
    }
  }

  private addLoad(runner: RespondingRunner, { name, weightVersion }: Model): void {
    if (this.activeLoadCount >= this.input.maxLoads || this.busyRunnerIds.has(runner.id)) return;
    this.orders.push({ runnerId: runner.id, type: 'load', model: name, weightVersion });
    this.busyRunnerIds.add(runner.id);
    this.activeLoadCount += 1;
  }

  /** Returns whether each model on this runner keeps enough ready runners without it. */
  private canTakeOutOfService(runner: RespondingRunner): boolean {
    if (this.busyRunnerIds.has(runner.id)) return false;
    for (const { model } of runner.status.models) {
      const holders = this.eligibleRunners.filter(
        (other) => hasModel(other, model) || isLoadingModel(other, model),
      );
      const ready = holders.filter((other) => isReady(other) && !this.busyRunnerIds.has(other.id));
      const remaining = ready.filter((other) => other.id !== runner.id).length;
      // A runner that isn't ready serves no requests, so taking it out costs no capacity.
      if (isReady(runner) && remaining < computeMinReadyRunners(holders.length)) return false;
    }
    return true;
  }

  private countReplicas(model: Model): number {
    const ordered = this.orders.filter(
      (order) => order.type === 'load' && order.model === model.name,
    );
    const orderedIds = new Set(ordered.map(({ runnerId: runner }) => runner));
    const holders = this.eligibleRunners.filter(
      (runner) =>
        hasModel(runner, model.name) ||
        isLoadingModel(runner, model.name) ||
        orderedIds.has(runner.id),
    );
    return holders.length;
  }

  private findModelWithLeastSurplus(): Model | undefined {
    let best: { readonly model: Model; readonly surplus: number } | undefined;
    for (const model of this.input.models) {
      const surplus = this.countReplicas(model) - model.minRunners;
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
  const plan = new OrderPlanner(input);
  plan.addIdleLoads();
  for (const model of input.models) plan.addVersionSwaps(model);
  for (const model of input.models) plan.addMissingReplicas(model);
  for (const model of input.models) plan.addUnloads(model);
  return plan.orders;
};
