import type { EndpointRecord, LoadReport, PromptPart } from '@lovagearch/endpoints';
import type { TableSource } from '@lovagearch/mirror';
import type { StoredPart, StorePartEvent } from '@lovagearch/reuse';
import type { LeaseStore, OrderClient, WeightTarget } from '@lovagearch/rollout';
import type { TrafficConfiguration } from '@lovagearch/traffic';

/** The head of a caller's request, decoded. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly host: string;
  readonly key: string | undefined;
  /** Time that the caller waits, in milliseconds. */
  readonly timeLimitMs: number | undefined;
  /** Last event of a stream that the caller has; 0 without one. */
  readonly lastEventId: number;
  readonly model: string | undefined;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Headers that endpoints receive unchanged: names and values in turn. */
  readonly forwardedHeaders: readonly string[];
}

/** What the product adds to a request for an endpoint. */
export interface ForwardingDetails {
  readonly endpointId: string;
  readonly accountName: string | undefined;
  readonly remainingMs: number;
  readonly cacheSalt: string | undefined;
  /** From 0, the most urgent, to 9; undefined for plain calls. */
  readonly enginePriority: number | undefined;
  readonly lastEventId: number;
  /** Weight version that the request has to begin on. */
  readonly expectedWeights: number | undefined;
  /** Store VMs by prompt part, to read it from and to keep it at. */
  readonly fetchFrom: readonly (string | undefined)[];
  readonly saveTo: readonly (string | undefined)[];
}

/** The head of an endpoint's answer, decoded. */
export interface ResponseHead {
  readonly status: number;
  /** The request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the answer bears the endpoint's proof of origin. */
  readonly hasOriginProof: boolean;
  /** The endpoint promises that it did not run the request. */
  readonly isNotRun: boolean;
  /** The request reached another endpoint than the one that was meant. */
  readonly isMisdirected: boolean;
  /** The endpoint that answered, where it says so. */
  readonly respondingEndpointId: string | undefined;
  readonly load: LoadReport | undefined;
  readonly isEventStream: boolean;
  readonly weightVersion: number | undefined;
  /** Headers for the caller: names and values in turn. */
  readonly callerHeaders: readonly string[];
}

export interface RequestHeadFault {
  readonly type: 'bad_request';
  readonly reason: string;
}
export type RequestHeadResult =
  | { readonly type: 'fault'; readonly fault: RequestHeadFault }
  | { readonly type: 'head'; readonly head: RequestHead };

/** Translates between the headers on the wire and the product's types. */
export interface HeaderCodec {
  /** Name of the header that bears the id of a request. */
  readonly requestIdHeader: string;
  readonly decodeRequestHead: (
    method: string,
    path: string,
    rawHeaders: readonly string[],
  ) => RequestHeadResult;
  readonly encodeEndpointHeaders: (head: RequestHead, details: ForwardingDetails) => string[];
  readonly decodeResponseHead: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => ResponseHead;
}

export type DecodeResult<Value> =
  | { readonly type: 'fault'; readonly reason: string }
  | { readonly type: 'ignored' }
  | { readonly type: 'value'; readonly value: Value };

/** Translates the rows of the store's tables. */
export interface RowCodec {
  /** Table of the configuration and of named weight versions. */
  readonly operatorTable: string;
  /** Table of the endpoints' registrations. */
  readonly endpointTable: string;
  readonly decodeConfiguration: (key: string, value: string) => DecodeResult<TrafficConfiguration>;
  readonly decodeWeightTarget: (key: string, value: string) => DecodeResult<WeightTarget>;
  readonly decodeEndpoint: (key: string, value: string) => DecodeResult<EndpointRecord>;
  readonly decodeSharedValue: (value: string) => unknown;
}

/** What changed at a store VM since an earlier call. */
export interface CacheStoreEvents {
  /** Differs between two starts of the store. */
  readonly epoch: number;
  /** Where the next call goes on. */
  readonly next: number;
  readonly events: readonly StorePartEvent[];
}

/** Calls to the store VMs of prompt parts. */
export interface CacheStoreClient {
  /** Returns undefined if the store doesn't answer. */
  readonly readEvents: (
    address: string,
    since: number,
    waitMs: number,
  ) => Promise<CacheStoreEvents | undefined>;
  /** Frees parts unless the store has restarted since; returns whether it did. */
  readonly freeParts: (
    address: string,
    parts: readonly StoredPart[],
    epoch: number,
  ) => Promise<boolean>;
}

/** Writes rows of the shared table. */
export interface SharedTable {
  readonly write: (key: string, value: unknown) => Promise<boolean>;
}

/** Limits that the deployment states for all nodes. */
export interface GatewayBounds {
  readonly retryBudgetRatio: number;
  readonly retryWindowS: number;
  readonly retrySlack: number;
  readonly shutdownGraceMs: number;
  /** Time within which new weights have to be in use. */
  readonly weightRolloutLimitMs: number;
  /** Least time between the orders of two holders. */
  readonly leaseHandoverDelayMs: number;
}

export interface GatewaySettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly region: string;
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly callerAddress: Address;
  readonly readinessAddress: Address;
  readonly peerAddress: Address;
  /** Where datagrams with peers' loads arrive. */
  readonly loadAddress: Address;
  readonly metricsPort: number;
  /** Peers that may introduce this node. */
  readonly seeds: readonly string[];
  readonly memoryMb: number;
  readonly heartbeatMs: number;
  readonly bounds: GatewayBounds;
}

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Everything outside the process that the gateway uses. */
export interface GatewayDependencies {
  readonly headers: HeaderCodec;
  readonly rows: RowCodec;
  readonly tables: TableSource;
  readonly shared: SharedTable;
  readonly lease: LeaseStore;
  readonly orders: OrderClient;
  readonly cacheStores: CacheStoreClient;
}
