import type { AdmissionDecision } from '@lovagearch/admission';
import type {
  AvailabilityCounts,
  BrittlenessChange,
  Endpoint,
  FirstEventDecision,
  HoldChange,
  LeavingChange,
  RateLimitChange,
  RejectionRisk,
} from '@lovagearch/endpoints';
import type {
  EventStreamFramer,
  HedgeInput,
  HedgeSkipReason,
  NextStep,
} from '@lovagearch/exchange';
import type { AttemptOutcome } from './attempt.js';
import type { ContinuationDecision } from './continuedStreams.js';
import type { RoutedRequest } from './createAttempt.js';
import type { FirstEventAges } from './firstEventWait.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Arrival } from './intake/requestIntake.js';
import type { ChosenEndpoint } from './placeRequest.js';
import type { ReusePlan } from './reusePlan.js';
import type { HedgeResult, PlacedAlternative } from './sendRace.js';
import { listSharedPartIds } from './sharedParts.js';
import type { SilenceDecision } from './silentResponse.js';
import type { RequestHead } from './types.js';

/** Characters of an id that a caller chose; longer ones are cut off. */
const MAX_LOGGED_ID_LENGTH = 64;

/** Logs the endpoint chosen for a request, the estimates behind the choice and the age of the load data. */
export const logPlacement = (
  { log, clock, metrics }: GatewayContext,
  { head, service }: RoutedRequest,
  { endpoint, placement, restrictions }: ChosenEndpoint,
  reusePlan: ReusePlan,
): void => {
  if (restrictions !== undefined) metrics.recordPlacementRestrictions(restrictions);
  log.logRequest('placed', {
    request: head.requestId,
    service,
    endpoint: endpoint.record.id,
    software: endpoint.record.softwareVersion,
    resumes: head.resumedRequestId?.slice(0, MAX_LOGGED_ID_LENGTH),
    callerEventId: head.lastEventId === 0 ? undefined : head.lastEventId,
    costMs: Math.round(placement.costMs),
    expectedMs: Math.round(placement.expectedMs),
    uncachedTokens: Math.round(placement.uncachedTokens),
    candidates: placement.candidates,
    fetchFrom: reusePlan.fetchFrom.filter((address) => address !== undefined),
    savedParts: reusePlan.saveTo.filter((address) => address !== undefined).length,
    weights: reusePlan.expectedWeights,
    loadAgeMs: Math.round(endpoint.getLoadAgeMs(clock.nowMs())),
    outsideRegion: restrictions?.region,
    inEvacuatedZone: restrictions?.evacuated,
    coldAtLimit: restrictions?.cold,
  });
};

/** Logs that no endpoint may take a request, with the number of endpoints in each state. */
export const logNotPlaced = (
  { log }: GatewayContext,
  { head, service }: RoutedRequest,
  counts: AvailabilityCounts,
): void => log.logProblem('not_placed', { request: head.requestId, service, ...counts });

/** Logs why admission refused a request. */
export const logNotAdmitted = (
  { log, clock }: GatewayContext,
  { head, route }: RoutedRequest,
  { endpoint, placement }: ChosenEndpoint,
  { reason, retryAfterMs, drainMs, headroomMs }: Extract<AdmissionDecision, { type: 'refuse' }>,
): void => {
  log.logProblem('not_admitted', {
    request: head.requestId,
    route: route.name,
    reason,
    endpoint: placement.endpointId,
    expectedMs: Math.round(placement.expectedMs),
    ownMs: Math.round(placement.ownMs),
    targetMs: route.targetLatencyMs,
    headroomMs: headroomMs === undefined ? undefined : Math.round(headroomMs),
    drainMs: Math.round(drainMs),
    retryAfterMs: Math.round(retryAfterMs),
    loadAgeMs: Math.round(endpoint.getLoadAgeMs(clock.nowMs())),
  });
};

/** Logs what a response changed about what is known of its endpoint; without a change nothing. */
export const logStatementChange = (
  { log }: GatewayContext,
  { record }: Endpoint,
  requestId: string,
  subject: 'brittleness' | 'hold' | 'leaving' | 'limit',
  change: BrittlenessChange | HoldChange | LeavingChange | RateLimitChange | undefined,
): void => {
  if (change === undefined) return;
  const { type, ...fields } = change;
  const { id, startedUnixMs } = record;
  log.logStateChange(`endpoint_${subject}_${type}`, {
    endpoint: id,
    startedUnixMs,
    service: record.service,
    request: requestId,
    ...fields,
  });
};

/** Logs that a brittle endpoint rejected a request, what this node allows itself there now, and what it knew. */
export const logRoomReduced = (
  { clock, log, brittleServices }: GatewayContext,
  endpoint: Endpoint,
  requestId: string,
  { share, active, nodeCount, heardAtMs }: RejectionRisk,
): void => {
  const { record, statements } = endpoint;
  const nowMs = clock.nowMs();
  const { rejectionsPerS, atMs } = brittleServices.findStatement(record.service) ?? {};
  const loadAgeMs = endpoint.getLoadAgeMs(nowMs);
  log.logStateChange('endpoint_room_reduced', {
    endpoint: record.id,
    service: record.service,
    request: requestId,
    room: statements.rejections.knownRoom,
    rejections: statements.rejections.countRisk(heardAtMs, nowMs),
    allowed: share.type === 'allowed' ? share.rejections : 0,
    active,
    nodes: nodeCount,
    rejectionsPerS,
    statementAgeMs: atMs === undefined ? undefined : Math.round(nowMs - atMs),
    loadAgeMs: Number.isFinite(loadAgeMs) ? Math.round(loadAgeMs) : undefined,
  });
};

/** Logs that a request has waited for brittle endpoints, and the endpoint that takes it, if there is one. */
export const logBrittleWaitEnded = (
  { clock, log }: GatewayContext,
  service: string,
  requestId: string,
  sinceMs: number,
  chosen: ChosenEndpoint | undefined,
): void =>
  log.logRequest('brittle_wait_ended', {
    request: requestId,
    service,
    waitedMs: Math.round(clock.nowMs() - sinceMs),
    endpoint: chosen?.endpoint.record.id,
  });

/** Progress of a request at the end of an attempt. */
export interface RequestProgress {
  readonly sends: number;
  readonly runs: number;
  readonly elapsedMs: number;
  /** Whether the endpoint had sent a part of the response body. */
  readonly hasOutput: boolean;
  /** Id of the last event that was passed on; undefined for requests that are not streaming. */
  readonly lastEventId: number | undefined;
}

/** Why a request was stopped before its response was complete. */
export type StopReason = 'caller_left' | 'time_limit';

/** State of a request when the gateway noticed that its caller had left, or that its time limit had passed. */
export interface StopFields {
  readonly isReadingBody: boolean;
  readonly endpoint: string | undefined;
  /** Whether the endpoint may have received the request. */
  readonly wasSent: boolean;
  readonly sends: number;
  readonly elapsedMs: number;
  /** Time since the limit; below 0 before it. */
  readonly overLimitMs: number;
  /** Time for which the end may have gone unnoticed: the delay of reads for a close, that of the timer for a limit. */
  readonly noticedAfterMs: number;
  /** Time for which the request may have waited until it was read, and where. */
  readonly readDelayMs: number;
  readonly waitedIn: Arrival['waitedIn'];
  /** Time limits that were handed to endpoints, one for each send. */
  readonly handedMs: readonly number[];
  /** Bytes of the request that had not left the process when the connections to endpoints were closed. */
  readonly unsentBytes: number;
  /** Nodes that the request came from and went to. */
  readonly relayedBy: string | undefined;
  readonly relayedTo: string | undefined;
}

/** Logs that a request ends before its response is complete, after its sends were cancelled. */
export const logStopped = (
  { log }: GatewayContext,
  requestId: string | undefined,
  reason: StopReason,
  { elapsedMs, overLimitMs, noticedAfterMs, readDelayMs, handedMs, ...fields }: StopFields,
): void =>
  log.logRequest(reason, {
    request: requestId,
    ...fields,
    elapsedMs: Math.round(elapsedMs),
    overLimitMs: Math.round(overLimitMs),
    noticedAfterMs: Math.round(noticedAfterMs),
    readDelayMs: Math.round(readDelayMs),
    handedMs: handedMs.map(String),
  });

/**
 * Creates the fields that tell a whole stream from a short one and from one with a gap at its beginning: the caller's
 * last event, the last one passed on, and how many events with an id were.
 */
export const createStreamFields = (
  head: RequestHead | undefined,
  framer: EventStreamFramer | undefined,
) =>
  framer === undefined
    ? {}
    : {
        callerEventId: head?.lastEventId,
        lastEventId: framer.lastEventId,
        events: framer.numberedEventCount,
      };

/** Parts named in one log line; prompts of the deployments have up to four. */
const MAX_LOGGED_PARTS = 8;

/** Logs an attempt without a usable response and the next step. */
export const logAttemptFailed = (
  { log }: GatewayContext,
  head: RequestHead,
  { endpoint }: ChosenEndpoint,
  outcome: AttemptOutcome,
  next: NextStep,
  { sends, runs, elapsedMs, hasOutput, lastEventId }: RequestProgress,
): void => {
  log.logProblem('attempt_failed', {
    request: head.requestId,
    endpoint: endpoint.record.id,
    software: endpoint.record.softwareVersion,
    result: outcome.type,
    status: outcome.type === 'answered' ? outcome.head.status : undefined,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    next: next.type,
    nextReason: 'reason' in next ? next.reason : undefined,
    sends,
    runs,
    elapsedMs: Math.round(elapsedMs),
    hasOutput,
    // Shows at which event the next endpoint goes on.
    lastEventId,
    // Shows what the requests that one endpoint broke off have in common.
    sharedParts: listSharedPartIds(head).slice(0, MAX_LOGGED_PARTS),
  });
};

/** Logs why a request that waits for its first event stays at its endpoint or is withdrawn from it. */
export const logFirstEventDecision = (
  { log }: GatewayContext,
  head: RequestHead,
  { record }: Endpoint,
  { type, reason }: FirstEventDecision,
  { waitedMs, silentMs, peerResponseAgeMs, remainingMs }: FirstEventAges,
): void =>
  log.logProblem('first_event_wait', {
    request: head.requestId,
    endpoint: record.id,
    decision: type,
    reason,
    waitedMs: Math.round(waitedMs),
    silentMs: Math.round(silentMs),
    peerResponseAgeMs: Number.isFinite(peerResponseAgeMs)
      ? Math.round(peerResponseAgeMs)
      : undefined,
    remainingMs: Math.round(remainingMs),
  });

/** Logs at which software version a stream that its caller resumes goes on, and which ones may have begun it. */
export const logContinuation = (
  { log }: GatewayContext,
  { head, service }: RoutedRequest,
  { continuation, source }: ContinuationDecision,
): void => {
  const fields = {
    request: head.requestId,
    service,
    resumes: head.resumedRequestId?.slice(0, MAX_LOGGED_ID_LENGTH),
    callerEventId: head.lastEventId,
    source,
    reason: continuation.type === 'unknown' ? continuation.reason : undefined,
    software: continuation.type === 'version' ? continuation.version : undefined,
    versions: continuation.type === 'unknown' ? continuation.versions : undefined,
  };
  if (continuation.type === 'unknown') log.logProblem('stream_not_resumed', fields);
  else log.logRequest('stream_resumed', fields);
};

/** Logs why a response whose endpoint is silent stays there or is requested elsewhere. */
export const logSilence = (
  { log }: GatewayContext,
  head: RequestHead,
  { record }: Endpoint,
  decision: SilenceDecision,
  silentMs: number,
): void =>
  log.logProblem('response_silent', {
    request: head.requestId,
    endpoint: record.id,
    decision: decision.type,
    reason: decision.type === 'stay' ? decision.reason : undefined,
    silentMs: Math.round(silentMs),
  });

/** What a decision about a hedge rests on. */
export interface HedgeDetails {
  readonly delayMs: number;
  readonly first: ChosenEndpoint;
  readonly input: HedgeInput<PlacedAlternative>;
}

const createHedgeFields = (
  { clock }: GatewayContext,
  { head, service }: RoutedRequest,
  { delayMs, first, input }: HedgeDetails,
) => ({
  request: head.requestId,
  service,
  first: first.endpoint.record.id,
  delayMs: Math.round(delayMs),
  expectedMs: Math.round(first.placement.expectedMs),
  loadAgeMs: Math.round(first.endpoint.getLoadAgeMs(clock.nowMs())),
  eventLoopDelayMs: Math.round(input.eventLoopDelayMs),
  inProgress: input.inProgress.total,
  late: input.inProgress.late,
  lateZones: input.inProgress.lateZones,
  remainingMs: Math.round(input.remainingMs),
});

/** Logs that a late request is sent to a second endpoint as well, and what the decision rests on. */
export const logHedged = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  details: HedgeDetails,
  { chosen, expectedMs, waitMs, queuedRequests }: PlacedAlternative,
): void =>
  context.log.logRequest('hedged', {
    ...createHedgeFields(context, routedRequest, details),
    endpoint: chosen.endpoint.record.id,
    alternativeExpectedMs: Math.round(expectedMs),
    alternativeWaitMs: Math.round(waitMs),
    alternativeQueue: queuedRequests,
    alternativeLoadAgeMs: Math.round(chosen.endpoint.getLoadAgeMs(context.clock.nowMs())),
  });

/** Logs why a late request is not sent to a second endpoint. */
export const logHedgeSkipped = (
  context: GatewayContext,
  routedRequest: RoutedRequest,
  details: HedgeDetails,
  reason: HedgeSkipReason,
): void =>
  context.log.logRequest('hedge_skipped', {
    ...createHedgeFields(context, routedRequest, details),
    reason,
  });

/** Logs what became of a hedge, with the outcomes of both sends and the times since them. */
export const logHedgeEnded = (
  { log }: GatewayContext,
  { head, service }: RoutedRequest,
  result: HedgeResult,
  end: {
    readonly endpoint: string;
    readonly firstOutcome: AttemptOutcome['type'] | undefined;
    readonly hedgeOutcome: AttemptOutcome['type'] | undefined;
    readonly firstElapsedMs: number;
    readonly hedgeElapsedMs: number;
  },
): void =>
  log.logRequest('hedge_ended', {
    request: head.requestId,
    service,
    result,
    ...end,
    firstElapsedMs: Math.round(end.firstElapsedMs),
    hedgeElapsedMs: Math.round(end.hedgeElapsedMs),
  });

/** Logs that a request waits at this node for room at an endpoint. */
export const logHeld = (
  { log, clock }: GatewayContext,
  { head, route }: RoutedRequest,
  { endpoint, placement }: ChosenEndpoint,
  reason: string,
  heldCount: number,
): void =>
  log.logRequest('held', {
    request: head.requestId,
    route: route.name,
    reason,
    expectedMs: Math.round(placement.expectedMs),
    ownMs: Math.round(placement.ownMs),
    targetMs: route.targetLatencyMs,
    held: heldCount,
    loadAgeMs: Math.round(endpoint.getLoadAgeMs(clock.nowMs())),
  });

/** Logs the end of such a wait. */
export const logHoldEnded = (
  { log }: GatewayContext,
  { head }: RoutedRequest,
  heldMs: number,
  isReleased: boolean,
): void =>
  log.logRequest('hold_ended', { request: head.requestId, heldMs: Math.round(heldMs), isReleased });
