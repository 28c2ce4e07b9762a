import type {
  AccountId,
  AttemptId,
  CallerError,
  EndpointId,
  Fingerprint,
  ModelId,
  NodeId,
  Region,
  RequestId,
  ServiceId,
  WeightVersion,
  Zone,
} from '@lovagearch/common';
import type { EngineLoad } from '@lovagearch/engine-client';
import type { ResultAsync } from 'neverthrow';

/** Priority class of a request, for scheduling and load shedding. */
export type RequestClass = 'background' | 'interactive' | 'standard';

/** What the entry process knows about one endpoint. Ages are measured on this process's clock. */
export interface EndpointView {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly kind: 'runner' | 'service';
  readonly url: string;
  readonly region: Region;
  readonly zone: Zone;
  readonly state: 'dead' | 'leaving' | 'loading' | 'ready';
  readonly models: readonly { readonly model: ModelId; readonly weightVersion: WeightVersion }[];
  readonly load: EngineLoad;
  /** Changes when the engine restarts with an empty cache. */
  readonly boot: string;
  /** Time since a watcher or a direct check last confirmed the state. */
  readonly confirmedAgeMs: number;
}

export interface StoreView {
  readonly id: EndpointId;
  readonly url: string;
  readonly region: Region;
  readonly zone: Zone;
  readonly isLive: boolean;
}

/** Runners, service instances and store VMs known to this node. */
export interface EndpointDirectory {
  /** Returns views whose ages may lag by up to 1 s. Every reported state change is included. */
  readonly listEndpoints: (service: ServiceId) => readonly EndpointView[];
  readonly listStores: (region: Region) => readonly StoreView[];
  /** Returns an uncached view. */
  readonly getEndpoint: (id: EndpointId) => EndpointView | undefined;
  /** Records the load that a response carried. */
  readonly updateLoad: (id: EndpointId, load: EngineLoad) => void;
  /** Records a response to a call, which ends the limit of one trial request after recovery. */
  readonly reportResponse: (id: EndpointId) => void;
  /** Records that the connection of a call to the endpoint failed. */
  readonly reportFailure: (id: EndpointId) => void;
  /** Records that the endpoint reported that it is draining, and tells all nodes at once. */
  readonly markLeaving: (id: EndpointId) => void;
  /** Checks by a direct call an endpoint whose last confirmation is older than 3 s. */
  readonly verifyReady: (id: EndpointId) => Promise<boolean>;
}

/** A runner or store VM that holds a cached prefix of a prompt. */
export interface PromptLocation {
  readonly kind: 'runner' | 'store';
  readonly holder: EndpointId;
  readonly region: Region;
  readonly depth: number;
  readonly tailKey: string;
  /** SHA-256 of the stored segment; empty for runners. */
  readonly sha256: string;
  /** Boot id of the engine for which the location was reported; empty for stores. */
  readonly boot: string;
}

export interface PromptIndex {
  /** Returns verified locations of a prompt's block keys, deepest first, within 15 ms. */
  readonly lookup: (chain: readonly string[]) => Promise<readonly PromptLocation[]>;
  /**
   * Reports that a request left its prefix cached at a location.
   *
   * @param reusedDepth blocks reused from a cache, by which a repeated prompt is recognized
   */
  readonly reportPlacement: (
    chain: readonly string[],
    location: PromptLocation,
    account: AccountId,
    reusedDepth: number,
  ) => void;
  /** Reports that a runner imported a segment from a store VM, so that the store VM retains it. */
  readonly reportImport: (store: EndpointId, segmentId: string) => void;
  /** Removes a location that turned out not to hold the prefix. */
  readonly removeLocation: (chain: readonly string[], location: PromptLocation) => void;
}

/** Permission to send a non-idempotent call once. */
export interface RunGrant {
  readonly account: AccountId;
  readonly key: string;
  readonly attempt: AttemptId;
  /** Deadline for sending the call, on this process's clock. */
  readonly sendBeforeMs: number;
}

export interface RecordedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export type BeginRunResult =
  | { readonly type: 'granted'; readonly grant: RunGrant }
  | { readonly type: 'recorded'; readonly response: RecordedResponse };

/** Coordinates at-most-once execution of non-idempotent calls across all nodes. */
export interface RunCoordinator {
  readonly begin: (
    account: AccountId,
    key: string,
    bodyHash: string,
  ) => ResultAsync<BeginRunResult, CallerError>;
  /** Records the response, which the caller receives even if recording fails. */
  readonly finish: (grant: RunGrant, response: RecordedResponse) => ResultAsync<void, CallerError>;
  /** Releases the key. Allowed only if no byte of the call was sent. */
  readonly release: (grant: RunGrant) => ResultAsync<void, CallerError>;
  /** Records that the outcome of the attempt is unknown. */
  readonly abandon: (grant: RunGrant) => void;
}

export interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly service: ServiceId;
  readonly requestClass: RequestClass;
  readonly promptTokens: number;
  readonly deadlineMs: number;
}

/** Permission to run a request. `release` is called exactly once, at the end of the request. */
export interface AdmissionTicket {
  readonly queuedMs: number;
  readonly release: () => void;
}

export interface Admission {
  readonly admit: (request: AdmissionRequest) => ResultAsync<AdmissionTicket, CallerError>;
  /** Takes one retry from the budgets of the account and the system. */
  readonly tryTakeRetry: (account: AccountId) => boolean;
}

/** Isolates requests that crash endpoints. */
export interface Containment {
  /** Refuses a quarantined request. A suspect request may run only on the returned endpoint. */
  readonly check: (
    fingerprint: Fingerprint,
  ) =>
    | { readonly type: 'clear' }
    | { readonly type: 'only_on'; readonly endpoint: EndpointId }
    | { readonly type: 'quarantined'; readonly error: CallerError };
  readonly recordStart: (endpoint: EndpointId, fingerprint: Fingerprint) => void;
  /** Records that the request has produced output on the endpoint. */
  readonly recordOutput: (endpoint: EndpointId, fingerprint: Fingerprint) => void;
  /** Records the end of a request; `crashed` if the endpoint died while the request ran. */
  readonly recordEnd: (
    endpoint: EndpointId,
    fingerprint: Fingerprint,
    outcome: 'completed' | 'crashed' | 'other',
  ) => void;
}

/** A component of the node that runs in the background until it is stopped. */
export interface NodeComponent {
  readonly stop: () => Promise<void>;
}

export interface NodeIdentity {
  readonly id: NodeId;
  readonly region: Region;
  readonly zone: Zone;
}
