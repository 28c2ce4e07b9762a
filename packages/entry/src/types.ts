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

/** Order of service and of load shedding. */
export type RequestClass = 'background' | 'interactive' | 'standard';

/** What the entry process knows of one endpoint. Ages are of this process's clock. */
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
  /** Changes when the engine restarts; its cache is then empty. */
  readonly boot: string;
  /** Time since any watcher or answer confirmed state and load. */
  readonly confirmedAgeMs: number;
}

export interface StoreView {
  readonly id: EndpointId;
  readonly url: string;
  readonly region: Region;
  readonly zone: Zone;
  readonly isLive: boolean;
}

/** Runners, service instances and store VMs as known to this node. */
export interface EndpointDirectory {
  /** Views whose ages may be up to a second old; states that were reported are present. */
  readonly listEndpoints: (service: ServiceId) => readonly EndpointView[];
  readonly listStores: (region: Region) => readonly StoreView[];
  /** The view at this moment. */
  readonly getEndpoint: (id: EndpointId) => EndpointView | undefined;
  /** Records the load that an answer carried. */
  readonly updateLoad: (id: EndpointId, load: EngineLoad) => void;
  /** Records that the endpoint answered a call; a returning endpoint gets all its work again. */
  readonly reportAnswer: (id: EndpointId) => void;
  /** Records that a call to the endpoint failed on the connection. */
  readonly reportFailure: (id: EndpointId) => void;
  /** Records that the endpoint said it is draining; spread at once. */
  readonly markLeaving: (id: EndpointId) => void;
  /** Checks an endpoint whose confirmation is older than 3 s by a direct call. */
  readonly verifyFresh: (id: EndpointId) => Promise<boolean>;
}

/** A place where a prefix of a prompt is cached. */
export interface PromptLocation {
  readonly kind: 'runner' | 'store';
  readonly holder: EndpointId;
  readonly region: Region;
  readonly depth: number;
  readonly tailKey: string;
  /** SHA-256 of the stored segment; empty for runners. */
  readonly sha256: string;
  /** Boot of the engine for which the location was reported; empty for stores. */
  readonly boot: string;
}

export interface PromptIndex {
  /** Returns verified locations for a prompt's chain of block keys, deepest first, within 15 ms. */
  readonly lookup: (chain: readonly string[]) => Promise<readonly PromptLocation[]>;
  /**
   * Reports that a request left its prefix at a location.
   *
   * @param reusedDepth blocks that were reused from a cache, to recognise a prompt that returned
   */
  readonly reportPlacement: (
    chain: readonly string[],
    location: PromptLocation,
    account: AccountId,
    reusedDepth: number,
  ) => void;
  /** Reports that a runner imported a segment of a store VM, so that the store VM keeps it. */
  readonly reportImport: (store: EndpointId, segmentId: string) => void;
  /** Removes a location that proved wrong. */
  readonly removeLocation: (chain: readonly string[], location: PromptLocation) => void;
}

/** Permission to send one non-idempotent call once. */
export interface RunGrant {
  readonly account: AccountId;
  readonly key: string;
  readonly attempt: AttemptId;
  /** Clock reading of this process after which the call may no longer be sent. */
  readonly sendBeforeMs: number;
}

export interface RecordedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export type RunBeginning =
  | { readonly type: 'granted'; readonly grant: RunGrant }
  | { readonly type: 'recorded'; readonly response: RecordedResponse };

/** At-most-once runs, over all nodes. */
export interface RunCoordinator {
  readonly begin: (
    account: AccountId,
    key: string,
    bodyHash: string,
  ) => ResultAsync<RunBeginning, CallerError>;
  /** Records the answer; the caller gets it even if recording fails. */
  readonly finish: (grant: RunGrant, response: RecordedResponse) => ResultAsync<void, CallerError>;
  /** Frees the key; only when no byte of the call was sent. */
  readonly release: (grant: RunGrant) => ResultAsync<void, CallerError>;
  /** Records that the attempt ended without a known outcome. */
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

/** Permission to run; `release` is called exactly once at the end of the request. */
export interface AdmissionTicket {
  readonly queuedMs: number;
  readonly release: () => void;
}

export interface Admission {
  readonly admit: (request: AdmissionRequest) => ResultAsync<AdmissionTicket, CallerError>;
  /** Takes one retry from the budgets of the account and of the system. */
  readonly tryTakeRetry: (account: AccountId) => boolean;
}

/** Requests that crash endpoints. */
export interface Containment {
  /** Refuses a quarantined request; a suspect may only run on the endpoint that is returned. */
  readonly check: (
    fingerprint: Fingerprint,
  ) =>
    | { readonly type: 'clear' }
    | { readonly type: 'only_on'; readonly endpoint: EndpointId }
    | { readonly type: 'quarantined'; readonly error: CallerError };
  readonly recordStart: (endpoint: EndpointId, fingerprint: Fingerprint) => void;
  /** Records that the request has produced text on the endpoint. */
  readonly recordOutput: (endpoint: EndpointId, fingerprint: Fingerprint) => void;
  /** Records the end; `crashed` when the endpoint died while the request ran. */
  readonly recordEnd: (
    endpoint: EndpointId,
    fingerprint: Fingerprint,
    outcome: 'completed' | 'crashed' | 'other',
  ) => void;
}

/** A part of the node that runs in the background until it is stopped. */
export interface NodePart {
  readonly stop: () => Promise<void>;
}

export interface NodeIdentity {
  readonly id: NodeId;
  readonly region: Region;
  readonly zone: Zone;
}
