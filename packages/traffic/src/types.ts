/** What may be repeated: a stream may only if its route is resumable. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** A service that a route sends requests to, with its share relative to the other targets. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time that a request is kept waiting. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that callers expect. */
  readonly targetLatencyMs: number;
  /** Longest pause between two events that callers expect. */
  readonly maxEventGapMs: number;
  /** Endpoints to which one request may be sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  /** Whether requests carry the parts of their prompt. */
  readonly hasPromptParts: boolean;
}

/** Sizes of the engines behind a model service. */
export interface EngineCapacity {
  readonly slots: number;
  /** Tokens that running requests and cached parts of one engine share. */
  readonly memoryTokens: number;
  readonly bytesPerToken: number;
  readonly linkMbps: number;
  readonly models: readonly string[];
}

/** A store VM that keeps prompt parts of the model services. */
export interface CacheStore {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly capacityTokens: number;
  readonly linkMbps: number;
  /** Time that each transfer waits beside its size. */
  readonly firstMs: number;
  /** Event calls that it serves at once. */
  readonly maxEventCalls: number;
  /** Whether it keeps everything until it is told to free it. */
  readonly isManaged: boolean;
}

export interface Service {
  readonly name: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine?: EngineCapacity;
}

/** Limits on what callers may send, and on how long they may take or stay idle. */
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
  /** Takes precedence over the priority of the route. */
  readonly priority?: number;
  /** Shares no cached part with another account. */
  readonly isIsolated: boolean;
}

/** One version of the configuration, whole. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly cacheStores: readonly CacheStore[];
  readonly limits: CallerLimits;
  /** Undefined if requests carry no keys. */
  readonly accounts?: readonly Account[];
}
