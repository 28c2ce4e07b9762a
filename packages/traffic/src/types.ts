/** Retry safety of a route's requests; a stream may be retried only if the route is resumable. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** A service that a route sends requests to, with a weight relative to the other targets. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix that starts and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Time limit of a request. */
  readonly timeoutMs: number;
  /** Target time to the response, or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Target for the maximum gap between two events of a stream. */
  readonly maxEventGapMs: number;
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  /** Whether requests list the parts of their prompt. */
  readonly hasPromptParts: boolean;
  /** Regions in which requests may be processed; absent or empty for any. */
  readonly allowedRegions?: readonly string[];
}

/** Capacity of each engine of a model service. */
export interface EngineCapacity {
  readonly slots: number;
  /** Memory of one engine in tokens, shared by running requests and cached prompt parts. */
  readonly memoryTokens: number;
  readonly bytesPerToken: number;
  readonly linkMbps: number;
  readonly models: readonly string[];
}

/** A store VM that caches prompt parts of the model services. */
export interface CacheStore {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly capacityTokens: number;
  readonly linkMbps: number;
  /** Fixed latency of each transfer, independent of its size. */
  readonly firstMs: number;
  /** Maximum number of concurrent calls for cache events. */
  readonly maxEventCalls: number;
  /** Whether it keeps parts until they are freed explicitly. */
  readonly isManaged: boolean;
}

/** How the endpoints of a service start. */
export interface ColdStart {
  /** Time after a start for which an endpoint is cold, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second from all nodes together that a cold endpoint bears. */
  readonly requestsPerS: number;
}

export interface Service {
  readonly name: string;
  /** Maximum number of connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine?: EngineCapacity;
  /** Absent if its endpoints bear as many requests after a start as later. */
  readonly coldStart?: ColdStart;
}

/** Limits on the size and duration of caller requests and on idle connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A client account. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority?: number;
  /** Whether the account shares no cached prompt parts with other accounts. */
  readonly isIsolated: boolean;
  /** Regions in which requests may be processed; absent or empty for any. */
  readonly allowedRegions?: readonly string[];
}

/** A complete version of the traffic configuration. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly cacheStores: readonly CacheStore[];
  readonly limits: CallerLimits;
  /** Undefined if requests need no API key. */
  readonly accounts?: readonly Account[];
}
