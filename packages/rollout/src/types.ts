/** The weight version that an operator published for a model. */
export interface WeightTarget {
  readonly model: string;
  readonly version: number;
}

/** The properties of an endpoint that matter for orders. */
export interface RolloutEndpoint {
  readonly id: string;
  readonly startedUnixMs: number;
  readonly address: string;
  readonly weights: ReadonlyMap<string, number>;
}

/** The status that an endpoint reports when polled. */
export interface EndpointReport {
  /** Orders that the endpoint has accepted since its start. */
  readonly acceptedOrders: number;
  readonly isBusy: boolean;
  /** Whether the endpoint announces that it is leaving. */
  readonly isLeaving: boolean;
  /** Number of running and queued requests. */
  readonly requests: number;
  readonly weights: ReadonlyMap<string, number>;
}

export interface WeightOrder {
  readonly endpoint: RolloutEndpoint;
  readonly target: WeightTarget;
  readonly holder: string;
  readonly fencing: number;
  /** The endpoint rejects the order unless this is the number of orders that it has accepted. */
  readonly ifAcceptedOrders: number;
}

/** Result of sending an order. `unknown`: the order may have been carried out or still be. */
export type OrderResult =
  | { readonly type: 'accepted' }
  | { readonly type: 'fenced' }
  | { readonly type: 'rejected'; readonly reason: string }
  | { readonly type: 'unknown'; readonly reason: string };

/** Endpoint calls that orders need. */
export interface OrderClient {
  readonly readReport: (endpoint: RolloutEndpoint) => Promise<EndpointReport | undefined>;
  readonly sendOrder: (order: WeightOrder) => Promise<OrderResult>;
}
