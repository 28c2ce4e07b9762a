export type EndpointState = 'draining' | 'ready';

/** Registration of an endpoint. */
export interface EndpointRecord {
  readonly id: string;
  /** Start time of the process in Unix milliseconds; it tells restarts under one id apart. */
  readonly startedUnixMs: number;
  /** Version of the endpoint's program, in contrast to that of its weights. */
  readonly softwareVersion: string;
  readonly service: string;
  /** Host and port. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: EndpointState;
  /** Time until the endpoint runs at full speed, in milliseconds. */
  readonly warmupRemainingMs: number;
  readonly heartbeat: number;
  /** Weight version by model. */
  readonly weights: ReadonlyMap<string, number>;
}

/** Load that an endpoint reported with a response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work in percent of its usual one; undefined if the endpoint doesn't state it. */
  readonly workPercent?: number | undefined;
}

/** What a response says about the requests per second that its endpoint accepts from all nodes together. */
export type RateLimitStatement =
  | { readonly type: 'invalid'; readonly text: string }
  | { readonly type: 'named'; readonly requestsPerS: number }
  | { readonly type: 'none' };

/** What a response says about the leaving of its endpoint, which takes no new requests from then on. */
export type LeavingStatement =
  | { readonly type: 'invalid'; readonly text: string }
  | { readonly type: 'leaving' }
  | { readonly type: 'none' };

/** For how long an endpoint that rejected a request wants no others from this node. */
export type HoldStatement =
  | { readonly type: 'invalid'; readonly text: string }
  | { readonly type: 'named'; readonly forS: number }
  | { readonly type: 'none' };

/** What a response says about the rejections per second, for want of room, from which its endpoint falls over. */
export type BrittlenessStatement =
  | { readonly type: 'invalid'; readonly text: string }
  | { readonly type: 'named'; readonly rejectionsPerS: number }
  | { readonly type: 'none' };

/** One of the ordered parts of a prompt; parts with equal ids have equal text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The store VM that caches the shared parts of a prompt, with the expected speed of transfers. */
export interface PromptPartStore {
  readonly address: string;
  readonly zone: string;
  readonly transferLatencyMs: number;
  /** Whether the store is known to have the shared parts for a weight version. */
  readonly hasPartsFor: (weightVersion: number | undefined) => boolean;
  /** Transfer time per token within a zone; transfers between zones take longer. */
  readonly msPerToken: number;
}

/** The attributes of a request that the choice of an endpoint needs. */
export interface PlacementRequest {
  readonly service: string;
  /** Empty for plain calls. */
  readonly parts: readonly PromptPart[];
  /** Cached parts are shared only between requests with the same salt. */
  readonly cacheSalt: string | undefined;
  readonly store: PromptPartStore | undefined;
  /** Tokens that the request occupies in an engine's memory; 0 if unknown. */
  readonly memoryTokens: number;
  /** Memory capacity of an engine in tokens; 0 if unknown. */
  readonly engineMemoryTokens: number;
  readonly model: string | undefined;
  /** Endpoints that this request was already sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Returns the time for which requests may still start on a version of the model, in milliseconds. */
  readonly getWeightsRemainingMs: (version: number) => number;
}

/** The endpoint chosen for a request, with the estimates behind the choice. */
export interface Placement {
  readonly endpointId: string;
  /** Expected time to the first byte of the response, in milliseconds. */
  readonly expectedMs: number;
  /** The part of `expectedMs` that is not queueing delay. */
  readonly ownMs: number;
  readonly roundTripMs: number;
  /** Prompt tokens that the endpoint is expected to prefill or to import from a cache. */
  readonly uncachedTokens: number;
  /** The affinity owner: the preferred endpoint of prompts with the same shared parts. */
  readonly ownerId: string | undefined;
  /** Expected transfer time of shared parts, in milliseconds; 0 if none are transferred. */
  readonly transferMs: number;
  /** Expected time to load all shared parts from their store, in milliseconds; 0 if they have none. */
  readonly storeTransferMs: number;
  /** Whether the endpoint should load the shared parts that it lacks from their store. */
  readonly isTransferWorthwhile: boolean;
  readonly costMs: number;
  /** Number of endpoints that were compared. */
  readonly candidates: number;
}
