import type { ReceiveLimits } from '@lovagearch/bounded-http';
import type { Random } from '@lovagearch/common';
import type {
  BrittlenessStatement,
  EndpointRecord,
  HoldStatement,
  LeavingStatement,
  LoadReport,
  PromptPart,
  RateLimitStatement,
} from '@lovagearch/endpoints';
import type { StoreEra, TableSource } from '@lovagearch/mirror';
import type { StoredPart, StorePartEvent } from '@lovagearch/reuse';
import type { LeaseStore, OrderClient, WeightTarget } from '@lovagearch/rollout';
import type { TrafficConfiguration } from '@lovagearch/traffic';
import type { HedgingShares } from './hedging.js';

/** The decoded request line and headers of a caller's request. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  /** Path and query string, exactly as the caller sent them. */
  readonly path: string;
  readonly host: string;
  readonly key: string | undefined;
  /** Time limit that the caller stated, in milliseconds. */
  readonly timeLimitMs: number | undefined;
  /** Id of the last stream event that the caller received; 0 if there is none. */
  readonly lastEventId: number;
  /** Id of the request that brought the first event of the stream that the caller resumes. */
  readonly resumedRequestId: string | undefined;
  readonly model: string | undefined;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Headers that endpoints receive unchanged, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
}

/** What the gateway adds to a request before it forwards it to an endpoint. */
export interface ForwardingDetails {
  readonly endpointId: string;
  readonly accountName: string | undefined;
  readonly remainingMs: number;
  readonly cacheSalt: string | undefined;
  /** From 0 (most urgent) to 9; undefined for plain calls. */
  readonly enginePriority: number | undefined;
  readonly lastEventId: number;
  /** Weight version on which the endpoint must start the request. */
  readonly expectedWeights: number | undefined;
  /** Address of the cache store VM to read each prompt part from, by index of the part. */
  readonly fetchFrom: readonly (string | undefined)[];
  /** Address of the cache store VM to save each prompt part to, by index of the part. */
  readonly saveTo: readonly (string | undefined)[];
}

/** The decoded status and headers of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that the response belongs to; undefined unless the response states exactly one. */
  readonly requestId: string | undefined;
  /** Whether the response carries the endpoint's proof of origin. */
  readonly hasOriginProof: boolean;
  /** Whether the endpoint guarantees that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the request reached an endpoint other than the intended one. */
  readonly isMisdirected: boolean;
  /** Id of the endpoint that responded, if the response states it. */
  readonly respondingEndpointId: string | undefined;
  readonly load: LoadReport | undefined;
  readonly rateLimit: RateLimitStatement;
  readonly brittleness: BrittlenessStatement;
  readonly leaving: LeavingStatement;
  readonly hold: HoldStatement;
  /** Time for which the endpoint says that it is cold, in milliseconds. */
  readonly coldRemainingMs?: number | undefined;
  readonly isEventStream: boolean;
  readonly weightVersion: number | undefined;
  /** Headers for the caller, as alternating names and values. */
  readonly callerHeaders: readonly string[];
}

export interface RequestHeadFault {
  readonly type: 'bad_request';
  readonly reason: string;
}
export type RequestHeadResult =
  | { readonly type: 'fault'; readonly fault: RequestHeadFault }
  | { readonly type: 'head'; readonly head: RequestHead };

/** Translates between the headers on the wire and the gateway's types. */
export interface HeaderCodec {
  /** Name of the header that carries the id of a request. */
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

/** Decodes the rows of the store's tables. */
export interface RowCodec {
  /** Table with the configuration and the target weight versions. */
  readonly operatorTable: string;
  /** Table with the registrations of endpoints. */
  readonly endpointTable: string;
  readonly decodeConfiguration: (key: string, value: string) => DecodeResult<TrafficConfiguration>;
  readonly decodeWeightTarget: (key: string, value: string) => DecodeResult<WeightTarget>;
  /** Returns the zone that the row evacuates while it exists. */
  readonly decodeEvacuation: (key: string) => DecodeResult<string>;
  readonly decodeEndpoint: (key: string, value: string) => DecodeResult<EndpointRecord>;
  readonly decodeSharedValue: (value: string) => unknown;
}

/** Changes at a cache store VM since an earlier call. */
export interface CacheStoreEvents {
  /** Changes with each start of the cache store. */
  readonly epoch: number;
  /** Event number from which the next call continues. */
  readonly next: number;
  /** Whether the cache store has discarded events between the earlier call and the first of these. */
  readonly hasGap: boolean;
  readonly events: readonly StorePartEvent[];
}

/** Client of the cache store VMs, which hold prompt parts. */
export interface CacheStoreClient {
  /** Returns undefined if the cache store does not respond. */
  readonly readEvents: (
    address: string,
    since: number,
    waitMs: number,
  ) => Promise<CacheStoreEvents | undefined>;
  /** Frees parts, unless the cache store has restarted since `epoch`; returns whether it freed them. */
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

/** Limits that the deployment sets for all nodes. */
export interface GatewayBounds {
  readonly retryBudgetRatio: number;
  readonly retryWindowS: number;
  readonly retrySlack: number;
  readonly shutdownGraceMs: number;
  /** Time within which an acknowledged configuration has to be in force on every node. */
  readonly configurationLimitMs: number;
  /** Time after which no request may reach an endpoint that announced its leaving. */
  readonly endpointLeaveLimitMs: number;
  /** Time after a disturbance of a node or the store from which the other limits hold again. */
  readonly contactLimitMs: number;
  /** Time within which new weights have to be in use everywhere. */
  readonly weightRolloutLimitMs: number;
  /** Minimum time between orders from two different lease holders. */
  readonly leaseHandoverDelayMs: number;
  /** Time within which the evacuation of a zone has to be in force on every node. */
  readonly evacuationLimitMs?: number;
  /** Requests that a cold endpoint bears in any second, as a multiple of its requests per second. */
  readonly coldOverage?: number;
  /** Requests that a cold endpoint bears in any second in addition to that. */
  readonly coldSlack?: number;
}

export interface GatewaySettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly region: string;
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly callerAddress: Address;
  readonly readinessAddress: Address;
  readonly peerAddress: Address;
  /** Address on which load digests of peers are received, over UDP. */
  readonly loadAddress: Address;
  readonly metricsPort: number;
  /** Addresses of peers to contact before any peer is known from the shared table. */
  readonly seeds: readonly string[];
  readonly memoryMb: number;
  /** Files and sockets that the process may have open; undefined if the platform states no limit. */
  readonly maxFds?: number | undefined;
  readonly heartbeatMs: number;
  /**
   * Whether callers compete for the endpoints, so that admission weighs the demand of other kinds and accounts, holds
   * requests at this node, and plans the return of refused ones.
   */
  readonly isDemandAdmissionEnabled: boolean;
  /** Whether the whole deployment starts for the first time, so that no process ran here before. */
  readonly isFirstStart: boolean;
  readonly bounds: GatewayBounds;
  /** Undefined if late requests are not hedged. */
  readonly hedgingShares?: HedgingShares | undefined;
}

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Clients and codecs through which the gateway reaches everything outside its process. */
export interface GatewayDependencies {
  readonly headers: HeaderCodec;
  readonly rows: RowCodec;
  readonly tables: TableSource;
  readonly shared: SharedTable;
  readonly lease: LeaseStore;
  /** Told the era of the store by the client of its tables; by default the store is never restored. */
  readonly storeEra?: StoreEra;
  readonly orders: OrderClient;
  readonly cacheStores: CacheStoreClient;
  /** What the process may spend on what endpoints, cache stores and peers send. */
  readonly responseLimits: ReceiveLimits;
  /** Random numbers of all decisions; a test passes seeded or fixed ones. */
  readonly random: Random;
}
