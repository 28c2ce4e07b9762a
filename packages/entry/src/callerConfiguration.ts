import type { AccountId, ModelId, ServiceId, WeightVersion } from '@lovagearch/common';
import type { RequestClass } from './types.js';

/** The settings of a client account that are needed to handle its requests. */
export interface CallerAccount {
  readonly id: AccountId;
  readonly services: readonly ServiceId[];
  readonly defaultClass: RequestClass;
}

/** Weights of the terms of the routing cost (design.md, section 4.6). */
export interface RoutingPolicy {
  readonly ttftWeight: number;
  readonly recomputeWeight: number;
  readonly linkWeight: number;
}

export interface ModelServiceView {
  readonly type: 'model';
  readonly id: ServiceId;
  readonly checksCaller: boolean;
  readonly kvBytesPerToken: number;
  readonly prefillTokensPerSecond: number;
  readonly storeBytesPerSecond: number;
  readonly policy: RoutingPolicy;
}

export interface ServiceRoute {
  readonly method: string;
  /** Exact path, or a path prefix ending in `/*`. */
  readonly path: string;
  readonly idempotent: boolean;
  readonly timeoutMs: number;
}

export interface PlainServiceView {
  readonly type: 'plain';
  readonly id: ServiceId;
  readonly checksCaller: boolean;
  readonly routes: readonly ServiceRoute[];
}

export type ServiceView = ModelServiceView | PlainServiceView;

export interface ModelView {
  readonly id: ModelId;
  readonly service: ServiceId;
  readonly weightVersion: WeightVersion;
}

/** The current configuration; each request reads it again. */
export interface CallerConfiguration {
  /** False until a configuration has been received; until then requests fail with `not_ready`. */
  readonly isLoaded: () => boolean;
  readonly findAccountByKeyHash: (keySha256: string) => CallerAccount | undefined;
  readonly findService: (name: string) => ServiceView | undefined;
  readonly findModel: (name: string) => ModelView | undefined;
  readonly listModels: () => readonly ModelView[];
  readonly listServices: () => readonly ServiceView[];
}
