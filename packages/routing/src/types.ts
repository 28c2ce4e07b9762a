/** Cost weights of a service; the cost of a choice is the weighted sum of its estimates. */
export interface PolicyWeights {
  /** Cost of one millisecond until the first token. */
  readonly ttftWeight: number;
  /** Cost of one recomputed prompt token. */
  readonly recomputeWeight: number;
  /** Cost of one byte sent over the link between regions. */
  readonly linkWeight: number;
}

/** Routing policy of a service. All policies but `cost` exist for comparison in benchmarks. */
export type RoutingPolicy =
  | { readonly type: 'cost'; readonly weights: PolicyWeights }
  | { readonly type: 'least_loaded' }
  | { readonly type: 'prefix_affinity' }
  | { readonly type: 'round_robin' };

/** Performance figures of a model service, for estimates. */
export interface ServiceSpeeds {
  readonly prefillTokensPerSecond: number;
  readonly kvBytesPerToken: number;
  readonly storeBytesPerSecond: number;
}

/** Location and estimated load of a runner. */
export interface RunnerState {
  readonly id: string;
  readonly region: string;
  readonly zone: string;
  readonly queuedPromptTokens: number;
  readonly activeSequences: number;
}

/** Verified location of a cached prefix of the request, with its depth in blocks. */
export interface CachedPrefix {
  readonly kind: 'runner' | 'store';
  readonly holder: string;
  readonly region: string;
  readonly depth: number;
}

export interface RoutingRequest {
  readonly promptTokens: number;
  readonly promptBytes: number;
  readonly maxTokens: number;
  readonly region: string;
  readonly zone: string;
}

/** A candidate runner with its estimates. */
export interface RunnerChoice {
  readonly runner: string;
  /** Store VM to import from; undefined when the runner's own cache or a recompute is cheaper. */
  readonly importFrom: string | undefined;
  /**
   * Store VM to import from if the runner's own cache no longer holds the prefix; set only where an
   * import is faster than recomputing. Cache events are delayed and may be lost, so the location of a
   * prefix can be out of date.
   */
  readonly fallbackStore: string | undefined;
  /** Blocks expected to be reused from the runner's cache or the store VM. */
  readonly reusedDepth: number;
  readonly ttftMs: number;
  readonly recomputedTokens: number;
  readonly linkBytes: number;
  readonly cost: number;
}
