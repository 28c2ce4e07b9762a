import { setTimeout as waitMs } from 'node:timers/promises';
import { request } from 'undici';
import type { EngineOptions, Order } from './engineSchemas.js';

const MAX_SEEN_ORDERS = 1_000;
const WEIGHTS_TIMEOUT_MS = 30_000;

interface Loading {
  readonly model: string;
  readonly weightVersion: string;
}

export interface ModelSlot {
  readonly weightVersion: string;
  readonly adapters: Set<string>;
}

export interface ModelSlotHooks {
  readonly onLoaded: (model: string, weightVersion: string) => void;
  readonly onDropped: (model: string, weightVersion: string) => void;
}

/** The models in the engine, the loads that are running, and the orders that change them. */
export class ModelSlots {
  private readonly slots = new Map<string, ModelSlot>();

  private readonly seenOrders = new Set<string>();

  private loadings: Loading[] = [];

  private lastFencing = 0;

  private currentRole: string;

  private constructor(
    private readonly options: EngineOptions,
    private readonly hooks: ModelSlotHooks,
  ) {
    this.currentRole = options.role;
    for (const { model, weightVersion, adapters } of options.models) {
      this.slots.set(model, { weightVersion, adapters: new Set(adapters) });
    }
  }

  static create(options: EngineOptions, hooks: ModelSlotHooks): ModelSlots {
    return new ModelSlots(options, hooks);
  }

  get fencing(): number {
    return this.lastFencing;
  }

  get role(): string {
    return this.currentRole;
  }

  get loading(): readonly Loading[] {
    return this.loadings;
  }

  get(model: string): ModelSlot | undefined {
    return this.slots.get(model);
  }

  list(): object[] {
    return [...this.slots].map(([model, { weightVersion, adapters }]) => ({
      model,
      weightVersion,
      adapters: [...adapters],
    }));
  }

  /** Takes an order; returns false if its fencing token is checked and out of date. */
  apply(order: Order): boolean {
    if (this.options.checksFencing && order.fencing < this.lastFencing) return false;
    this.lastFencing = Math.max(this.lastFencing, order.fencing);
    if (this.seenOrders.has(order.orderId)) return true;
    this.seenOrders.add(order.orderId);
    const [oldest] = this.seenOrders;
    if (this.seenOrders.size > MAX_SEEN_ORDERS && oldest !== undefined) {
      this.seenOrders.delete(oldest);
    }
    this.run(order);
    return true;
  }

  private run({ type, model, weightVersion, adapter, role }: Order): void {
    if (type === 'set_role') {
      this.currentRole = role ?? this.currentRole;
      return;
    }
    if (model === undefined) return;
    if (type === 'unload') this.remove(model);
    if (type === 'load_adapter' && adapter !== undefined) {
      this.slots.get(model)?.adapters.add(adapter);
    }
    if (type === 'load' && weightVersion !== undefined) this.startLoad({ model, weightVersion });
  }

  private remove(model: string): void {
    const slot = this.slots.get(model);
    if (slot === undefined) return;
    this.slots.delete(model);
    this.hooks.onDropped(model, slot.weightVersion);
  }

  private startLoad(loading: Loading): void {
    const { model, weightVersion } = loading;
    if (this.slots.get(model)?.weightVersion === weightVersion) return;
    if (this.loadings.some((other) => other.model === model)) return;
    this.loadings = [...this.loadings, loading];
    this.load(loading)
      // A load that failed is reported by the state, as in a real engine.
      .catch(() => undefined)
      .finally(() => {
        this.loadings = this.loadings.filter((other) => other !== loading);
      });
  }

  private async load({ model, weightVersion }: Loading): Promise<void> {
    const { weightsUrl, loadWeightsMs, maxParallelLoadsBeforeSlow } = this.options;
    const slowdown = Math.max(1, this.loadings.length / maxParallelLoadsBeforeSlow);
    if (weightsUrl !== undefined) {
      const url = `${weightsUrl}/v1/weights/${model}/${weightVersion}`;
      const response = await request(url, { signal: AbortSignal.timeout(WEIGHTS_TIMEOUT_MS) });
      await response.body.dump();
      if (response.statusCode !== 200) throw new Error('the weight store has no such weights');
    }
    await waitMs(loadWeightsMs * slowdown, undefined, { ref: false });
    this.remove(model);
    this.slots.set(model, { weightVersion, adapters: new Set() });
    this.hooks.onLoaded(model, weightVersion);
  }
}
