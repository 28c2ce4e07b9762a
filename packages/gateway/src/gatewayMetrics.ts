import type { Continuation, FirstEventDecision } from '@lovagearch/endpoints';
import type { EndpointLife } from '@lovagearch/exchange';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { SilenceDecision } from './silentResponse.js';

/** Latency histogram buckets, in milliseconds: from a cached read up to the longest stream. */
const LATENCY_BUCKETS_MS = [5, 10, 20, 40, 80, 160, 320, 640, 1_280, 2_560, 5_120, 15_000];
/** Headroom buckets, in milliseconds; below 0, less urgent requests wait. */
const HEADROOM_BUCKETS_MS = [-1_280, -320, -80, 0, 20, 40, 80, 160, 320, 640];

/** Buckets of the age of load reports, in milliseconds: from a changing contention up to a report that counts no more. */
const LOAD_AGE_BUCKETS_MS = [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000];

/** Prometheus metrics of the gateway process. */
export class GatewayMetrics {
  private readonly registry = new Registry();

  private readonly requests = new Counter({
    name: 'lovagearch_requests_total',
    help: 'Requests by route and outcome',
    labelNames: ['route', 'outcome'],
    registers: [this.registry],
  });

  private readonly attempts = new Counter({
    name: 'lovagearch_attempts_total',
    help: 'Sends to endpoints by service and result',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly relays = new Counter({
    name: 'lovagearch_relayed_requests_total',
    help: 'Requests offered to peers as this node can not reach the service, by result',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly acceptedRelays = new Counter({
    name: 'lovagearch_accepted_relays_total',
    help: 'Requests taken from peers that can not reach a service, by outcome',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  private readonly responseEnds = new Counter({
    name: 'lovagearch_response_ends_total',
    help: 'Responses of endpoints by service and what showed their end',
    labelNames: ['service', 'end'],
    registers: [this.registry],
  });

  private readonly connectionEnds = new Counter({
    name: 'lovagearch_connection_ends_total',
    help: 'Responses that ended with their connection, by service and what is known of the endpoint',
    labelNames: ['service', 'endpoint'],
    registers: [this.registry],
  });

  private readonly droppedLines = new Counter({
    name: 'lovagearch_log_lines_dropped_total',
    help: 'Log lines that were not written',
    registers: [this.registry],
  });

  private readonly firstByte = new Histogram({
    name: 'lovagearch_first_byte_ms',
    help: 'Time to the first byte of an answer, by route',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly duration = new Histogram({
    name: 'lovagearch_request_ms',
    help: 'Time to the end of a request, by client account',
    labelNames: ['account'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly eventLoopDelay = new Histogram({
    name: 'lovagearch_event_loop_delay_ms',
    help: 'Delay of a periodic timer; closes of callers are noticed at least this late',
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly stops = new Histogram({
    name: 'lovagearch_stop_to_close_ms',
    help: 'Time from a time limit or the close of a caller to the close at the endpoint, by reason',
    labelNames: ['reason'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly readDelay = new Histogram({
    name: 'lovagearch_read_delay_ms',
    help: 'Time for which requests may have waited until they were read, by where they waited',
    labelNames: ['waited_in'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly callerLimits = new Counter({
    name: 'lovagearch_caller_limits_total',
    help: 'Connections closed and requests refused as clients held too much, by limit',
    labelNames: ['limit'],
    registers: [this.registry],
  });

  private readonly gauges = new Gauge({
    name: 'lovagearch_state',
    help: 'Current sizes and versions, by name',
    labelNames: ['name'],
    registers: [this.registry],
  });

  private readonly firstEventDecisions = new Counter({
    name: 'lovagearch_first_event_decisions_total',
    help: 'Decisions on requests that wait for their first event at a quiet endpoint, by service',
    labelNames: ['service', 'decision', 'reason'],
    registers: [this.registry],
  });

  private readonly silenceDecisions = new Counter({
    name: 'lovagearch_silent_responses_total',
    help: 'Decisions on responses that have begun and whose endpoint is silent, by service',
    labelNames: ['service', 'decision', 'reason'],
    registers: [this.registry],
  });

  private readonly continuations = new Counter({
    name: 'lovagearch_resumed_streams_total',
    help: 'Streams that callers resume, by what is known of the software version that began them',
    labelNames: ['service', 'origin'],
    registers: [this.registry],
  });

  private readonly loadAge = new Histogram({
    name: 'lovagearch_load_age_ms',
    help: 'Age of the load report of the chosen endpoint at each choice, by service',
    labelNames: ['service'],
    buckets: LOAD_AGE_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly hedges = new Counter({
    name: 'lovagearch_hedges_total',
    help: 'Second sends of late requests, and late requests without one, by service and result',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly brittleRejections = new Counter({
    name: 'lovagearch_brittle_rejections_total',
    help: 'Requests that brittle endpoints rejected for want of room, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });

  private readonly brittleWaits = new Counter({
    name: 'lovagearch_brittle_waits_total',
    help: 'Requests that waited until a brittle endpoint might take them, by service and end of the wait',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly slowCallers = new Counter({
    name: 'lovagearch_slow_callers_total',
    help: 'Callers that were disconnected as they took nothing of an unfinished response',
    registers: [this.registry],
  });

  private readonly admissions = new Counter({
    name: 'lovagearch_admission_total',
    help: 'Decisions about requests by route, decision and its reason',
    labelNames: ['route', 'decision', 'reason'],
    registers: [this.registry],
  });

  private readonly headroom = new Histogram({
    name: 'lovagearch_admission_headroom_ms',
    help: 'Wait that could be added before more urgent requests are late, by priority of the request',
    labelNames: ['priority'],
    buckets: HEADROOM_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly placementRestrictions = new Counter({
    name: 'lovagearch_placement_restrictions_total',
    help: 'Requests that were kept from endpoints, by reason: region, evacuated or cold',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  private readonly linkProbes = new Counter({
    name: 'lovagearch_link_probes_total',
    help: 'Connections opened to find out whether an endpoint is in reach, by service, purpose and result',
    labelNames: ['service', 'purpose', 'result'],
    registers: [this.registry],
  });

  static create(): GatewayMetrics {
    return new GatewayMetrics();
  }

  recordRequest(route: string, account: string, outcome: string, totalMs: number): void {
    this.requests.inc({ route, outcome });
    this.duration.observe({ account }, totalMs);
  }

  recordFirstByte(route: string, firstByteMs: number): void {
    this.firstByte.observe({ route }, firstByteMs);
  }

  recordAttempt(service: string, result: string): void {
    this.attempts.inc({ service, result });
  }

  /** @param result what became of a request at the peer that it was offered to, or why no peer was asked */
  recordRelay(service: string, result: string): void {
    this.relays.inc({ service, result });
  }

  /** Records a request that this node took from a peer. */
  recordAcceptedRelay(outcome: string): void {
    this.acceptedRelays.inc({ outcome });
  }

  /** @param end `framing` for a length or chunks, `connection` if the response ended with its connection */
  recordResponseEnd(service: string, end: 'connection' | 'framing'): void {
    this.responseEnds.inc({ service, end });
  }

  recordConnectionEnd(service: string, endpoint: EndpointLife): void {
    this.connectionEnds.inc({ service, endpoint });
  }

  recordPlacementRestrictions(restrictions: Readonly<Record<string, number>>): void {
    for (const reason of Object.keys(restrictions)) this.placementRestrictions.inc({ reason });
  }

  recordEventLoopDelay(delayMs: number): void {
    this.eventLoopDelay.observe(delayMs);
  }

  /** @param noticedAfterMs time for which the end of a request that was sent may have gone unnoticed */
  recordStop(reason: string, noticedAfterMs: number): void {
    this.stops.observe({ reason }, noticedAfterMs);
  }

  recordReadDelay(waitedIn: string, delayMs: number): void {
    this.readDelay.observe({ waited_in: waitedIn }, delayMs);
  }

  recordDroppedLines(lines: number): void {
    this.droppedLines.inc(lines);
  }

  recordFirstEventDecision(service: string, { type, reason }: FirstEventDecision): void {
    this.firstEventDecisions.inc({ service, decision: type, reason: reason.replaceAll(' ', '_') });
  }

  /** @param origin `known`, or else what follows from the versions in use */
  recordContinuation(service: string, origin: Continuation['type'] | 'known'): void {
    this.continuations.inc({ service, origin });
  }

  recordSilence(service: string, decision: SilenceDecision): void {
    const reason = decision.type === 'stay' ? decision.reason.replaceAll(' ', '_') : 'none';
    this.silenceDecisions.inc({ service, decision: decision.type, reason });
  }

  /** Records the age of a load report; an endpoint that has reported none is not counted. */
  recordLoadAge(service: string, ageMs: number): void {
    if (Number.isFinite(ageMs)) this.loadAge.observe({ service }, ageMs);
  }

  /** @param result what became of the hedge, or `skipped_` with the reason why there was none */
  recordHedge(service: string, result: string): void {
    this.hedges.inc({ service, result });
  }

  recordBrittleRejection(service: string): void {
    this.brittleRejections.inc({ service });
  }

  recordBrittleWait(service: string, result: string): void {
    this.brittleWaits.inc({ service, result });
  }

  recordSlowCaller(): void {
    this.slowCallers.inc();
  }

  recordCallerLimit(limit: string): void {
    this.callerLimits.inc({ limit });
  }

  /** @param purpose `verify` if the endpoint is only suspected to be out of reach, `regain` if it is */
  recordLinkProbe(service: string, purpose: 'regain' | 'verify', result: string): void {
    this.linkProbes.inc({ service, purpose, result });
  }

  setGauge(name: string, value: number): void {
    this.gauges.set({ name }, value);
  }

  recordAdmission(route: string, decision: 'admit' | 'hold' | 'refuse', reason: string): void {
    this.admissions.inc({ route, decision, reason });
  }

  recordHeadroom(priority: number, headroomMs: number): void {
    this.headroom.observe({ priority }, headroomMs);
  }

  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
