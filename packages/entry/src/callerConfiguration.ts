import type { AccountId, ModelId, ServiceId, WeightVersion } from '@lovagearch/common';
import type { RequestClass } from './types.js';

/** A client account as the caller path needs it. */
export interface CallerAccount {
  readonly id: AccountId;
  readonly services: readonly ServiceId[];
  readonly defaultClass: RequestClass;
}

/** Weights of the routing cost (design 4.6). */
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
  /** Exact path, or a prefix that ends in `/*`. */
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

/** The configuration in force, read anew by each request. */
export interface CallerConfiguration {
  /** False until a first configuration is known; requests are refused with `not_ready`. */
  readonly isLoaded: () => boolean;
  readonly findAccountByKeyHash: (keySha256: string) => CallerAccount | undefined;
  readonly findService: (name: string) => ServiceView | undefined;
  readonly findModel: (name: string) => ModelView | undefined;
  readonly listModels: () => readonly ModelView[];
  readonly listServices: () => readonly ServiceView[];
}
