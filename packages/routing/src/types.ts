/** Weights of a service's measures; the cost of a choice is their weighted sum. */
export interface PolicyWeights {
  /** Cost of one millisecond until the first token. */
  readonly ttftWeight: number;
  /** Cost of one recomputed prompt token. */
  readonly recomputeWeight: number;
  /** Cost of one byte on the link between regions. */
  readonly linkWeight: number;
}

/** How a runner is chosen. All but `cost` exist for comparison in benchmarks. */
export type RoutingPolicy =
  | { readonly type: 'cost'; readonly weights: PolicyWeights }
  | { readonly type: 'least_loaded' }
  | { readonly type: 'prefix_affinity' }
  | { readonly type: 'round_robin' };

/** Speeds and sizes of a model service. */
export interface ServiceSpeeds {
  readonly prefillTokensPerSecond: number;
  readonly kvBytesPerToken: number;
  readonly storeBytesPerSecond: number;
}

/** A runner as a candidate for one request. */
export interface RunnerState {
  readonly id: string;
  readonly region: string;
  readonly zone: string;
  readonly queuedPromptTokens: number;
  readonly activeSequences: number;
}

/** A verified place of a prefix of the request. */
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

/** One possible choice with its estimates. */
export interface RunnerChoice {
  readonly runner: string;
  /** Store VM to import from; undefined when the runner's own cache or a recompute is cheaper. */
  readonly importFrom: string | undefined;
  /**
   * Store VM that the runner may import from if its own cache no longer holds the prefix, where that
   * is faster than computing. Cache events are late and have gaps, so a hint may be wrong.
   */
  readonly fallbackStore: string | undefined;
  /** Blocks that are expected to be reused from the runner or the store VM. */
  readonly reusedDepth: number;
  readonly ttftMs: number;
  readonly recomputedTokens: number;
  readonly linkBytes: number;
  readonly cost: number;
}
