export type EndpointState = 'draining' | 'ready';

/** What an endpoint's registration says. */
export interface EndpointRecord {
  readonly id: string;
  /** Start of the process in Unix milliseconds; differs between two starts under one id. */
  readonly startedUnixMs: number;
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

/** Load as an endpoint reported it with an answer. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** A part of a prompt in order; equal ids mean equal text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The store VM that keeps the shared parts of a prompt, and the speed of a transfer from it. */
export interface PromptPartStore {
  readonly address: string;
  readonly zone: string;
  readonly transferLatencyMs: number;
  /** Whether the store has the shared parts for a weight version, as far as it is known. */
  readonly hasPartsFor: (weightVersion: number | undefined) => boolean;
  /** Within a zone; longer between zones. */
  readonly msPerToken: number;
}

/** What a choice needs to know of a request. */
export interface PlacementRequest {
  readonly service: string;
  /** Empty for plain calls. */
  readonly parts: readonly PromptPart[];
  /** Cached parts are found only under the same value. */
  readonly cacheSalt: string | undefined;
  readonly store: PromptPartStore | undefined;
  /** Tokens that the request takes in an engine's memory, and that an engine has; 0 if unknown. */
  readonly memoryTokens: number;
  readonly engineMemoryTokens: number;
  readonly model: string | undefined;
  /** Endpoints that had this request before. */
  readonly excluded: ReadonlySet<string>;
  /** Least weight version that may serve the request, if any. */
  readonly minWeightVersion: number;
}

/** Where a request goes and what that is expected to cost. */
export interface Placement {
  readonly endpointId: string;
  /** Expected time to the first byte of the answer, in milliseconds. */
  readonly expectedMs: number;
  /** The part of it that is not waiting. */
  readonly ownMs: number;
  /** Prompt tokens that the endpoint is expected to read. */
  readonly uncachedTokens: number;
  /** The endpoint that prompts with the same shared parts go to first. */
  readonly ownerId: string | undefined;
  /** Time to bring parts from their store, in milliseconds; 0 if they are better read again. */
  readonly transferMs: number;
  /** Why this one: its cost and the number of endpoints compared. */
  readonly costMs: number;
  readonly candidates: number;
}
