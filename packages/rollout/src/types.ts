/** The weight version that an operator named for a model. */
export interface WeightTarget {
  readonly model: string;
  readonly version: number;
}

/** An endpoint as far as it matters for orders. */
export interface RolloutEndpoint {
  readonly id: string;
  readonly startedUnixMs: number;
  readonly address: string;
  readonly weights: ReadonlyMap<string, number>;
}

/** What an endpoint says of itself when asked. */
export interface EndpointReport {
  /** Orders that the endpoint has accepted since its start. */
  readonly acceptedOrders: number;
  readonly isBusy: boolean;
  /** Requests that run or wait. */
  readonly requests: number;
  readonly weights: ReadonlyMap<string, number>;
}

export interface WeightOrder {
  readonly endpoint: RolloutEndpoint;
  readonly target: WeightTarget;
  readonly holder: string;
  readonly fencing: number;
  /** The endpoint rejects the order if it has accepted another one since. */
  readonly ifAcceptedOrders: number;
}

/** What an endpoint answered to an order. `unknown`: the order may be carried out, also later. */
export type OrderResult =
  | { readonly type: 'accepted' }
  | { readonly type: 'fenced' }
  | { readonly type: 'rejected'; readonly reason: string }
  | { readonly type: 'unknown'; readonly reason: string };

/** The calls to endpoints that orders need. */
export interface OrderClient {
  readonly readReport: (endpoint: RolloutEndpoint) => Promise<EndpointReport | undefined>;
  readonly sendOrder: (order: WeightOrder) => Promise<OrderResult>;
}
