import { type Contention, EngineTimings, WorkTime } from '@lovagearch/estimation';
import {
  BUSY_PREFILL_SHARE,
  DEFAULT_PROCESSING_MS,
  FAILURE_EWMA_WEIGHT,
  INITIAL_SUSPENSION_MS,
  LOAD_REPORT_MAX_AGE_MS,
  MAX_FULL_VIEW_NODES,
  MAX_SUSPENSION_MS,
  MEMORY_FULL_SHARE,
  QUIET_WAIT_MS,
  REJECTION_SUSPENSION_MS,
  RUNNING_REQUEST_DELAY_MS,
  UNKNOWN_REQUESTS_MARGIN,
  WAIT_EWMA_WEIGHT,
  WAITING_REQUEST_DELAY_MS,
  PROCESSING_EWMA_WEIGHT,
} from './constants.js';
import { DecayingAverage } from './decayingAverage.js';
import type { LoadDigestEntry } from './loadDigest.js';
import { EndpointStatements } from './endpointStatements.js';
import { PeerLoads } from './peerLoads.js';
import { type EndpointRequests, ReportedLoad } from './reportedLoad.js';
import type { EndpointRecord, LoadReport } from './types.js';

/** Result of a request to an endpoint, reduced to what it shows about the endpoint. */
export type EndpointOutcome =
  | { readonly type: 'answered'; readonly isFailure: boolean; readonly processingMs: number }
  | { readonly type: 'cancelled' }
  | { readonly type: 'rejected' }
  | { readonly type: 'transport_failed' };

/** A request that this process sent to an endpoint. */
export interface SentRequest {
  /** Prompt tokens that the endpoint is expected to prefill. */
  readonly tokens: number;
  /** Tokens that the request occupies in the endpoint's memory when it ends. */
  readonly memoryTokens: number;
  /** Expected time to the first byte without queueing, in milliseconds. */
  readonly ownMs: number;
  /** Expected queueing delay, in milliseconds. */
  readonly expectedWaitMs: number;
  readonly roundTripMs: number;
  /** Whether the endpoint may load cached parts instead of prefilling them. */
  readonly mayLoadParts: boolean;
  readonly sentAtMs: number;
}

/** State of one endpoint process: its registration, and load and health observed from requests. */
export class Endpoint {
  /** Number of this process's requests in progress at the endpoint. */
  active = 0;

  /** Whether the next digest needs an entry even without active requests, to report their end. */
  hasPendingDigestEntry = false;

  /** Clock reading of the last bytes received from the endpoint, on any request. */
  lastBytesAtMs = Number.NEGATIVE_INFINITY;

  /** Clock reading of the last response of the endpoint that a peer reported. */
  lastPeerResponseAtMs = Number.NEGATIVE_INFINITY;

  /** Requests of this process without a first byte, in the order in which they were sent. */
  private readonly waiting = new Set<SentRequest>();

  /** Duration of plain calls without waiting and contention; recorded only of endpoints that state their contention. */
  private readonly workTime = WorkTime.create();

  /** Clock readings at the first bytes of responses in progress. */
  private readonly firstByteAtMs = new Map<SentRequest, number>();

  private pendingTokens = 0;

  private activeTokens = 0;

  private readonly peerLoads = PeerLoads.create();

  /** Queueing delay of recent responses. */
  private readonly observedWait = DecayingAverage.create();

  /** Time by which recent calls that were overtaken exceeded their forecast. */
  private readonly overtakenDelay = DecayingAverage.create();

  private readonly reported = ReportedLoad.create();

  private processingMs = DEFAULT_PROCESSING_MS;

  private failureShare = 0;

  private transportFailures = 0;

  private suspendedUntilMs = Number.NEGATIVE_INFINITY;

  private heartbeatAtMs: number;

  private constructor(
    private current: EndpointRecord,
    nowMs: number,
    readonly statements: EndpointStatements,
    readonly timings: EngineTimings,
  ) {
    this.heartbeatAtMs = nowMs;
  }

  /**
   * @param statements what the same start of the endpoint said before its registration was removed
   * @param timings estimates that all endpoints of the service share
   */
  static create(
    record: EndpointRecord,
    nowMs: number,
    statements = EndpointStatements.create(),
    timings = EngineTimings.create(),
  ): Endpoint {
    return new Endpoint(record, nowMs, statements, timings);
  }

  get record(): EndpointRecord {
    return this.current;
  }

  get meanProcessingMs(): number {
    return this.processingMs;
  }

  /** Share of failures among recent responses, from 0 to 1. */
  get recentFailureShare(): number {
    return this.failureShare;
  }

  get lastReport(): LoadReport | undefined {
    return this.reported.lastReport;
  }

  /** Clock reading of the last load report. */
  get lastReportAtMs(): number {
    return this.reported.reportedAtMs;
  }

  /** How much longer work currently takes than usual. */
  get contention(): Contention {
    return this.reported.contention;
  }

  /** Whether the last load report came with a response to this process and not from a peer. */
  get isLastReportDirect(): boolean {
    return this.reported.isDirect;
  }

  get ownPendingTokens(): number {
    return this.pendingTokens;
  }

  get ownActiveTokens(): number {
    return this.activeTokens;
  }

  /** Updates the registration of the same endpoint process. */
  updateRecord(record: EndpointRecord, nowMs: number): void {
    if (record.heartbeat !== this.current.heartbeat) this.heartbeatAtMs = nowMs;
    this.current = record;
  }

  /** Returns the time since the heartbeat count of the registration last changed. */
  getHeartbeatAgeMs(nowMs: number): number {
    return nowMs - this.heartbeatAtMs;
  }

  isSuspended(nowMs: number): boolean {
    return nowMs < this.suspendedUntilMs;
  }

  recordLoadReport(report: LoadReport, nowMs: number): void {
    this.reported.accept(report, nowMs, true, this.active);
  }

  /** Records a load report that a peer received, unless a newer one is known. */
  recordPeerReport(report: LoadReport, reportedAtMs: number): void {
    this.recordPeerBytes(reportedAtMs);
    if (reportedAtMs <= this.reported.reportedAtMs) return;
    this.reported.accept(report, reportedAtMs, false, this.active);
  }

  /** Records that a peer received bytes from the endpoint. */
  recordPeerBytes(atMs: number): void {
    this.lastPeerResponseAtMs = Math.max(this.lastPeerResponseAtMs, atMs);
  }

  recordPeerLoad(peer: string, entry: LoadDigestEntry, nowMs: number): void {
    this.peerLoads.record(peer, entry, nowMs);
  }

  /** Returns the time since the last load report; infinite without one. */
  getLoadAgeMs(nowMs: number): number {
    return nowMs - this.reported.reportedAtMs;
  }

  /** Records a request; the same object is passed to `recordFirstByte` and `recordCompletion`. */
  recordSent(sent: SentRequest): void {
    this.active += 1;
    this.hasPendingDigestEntry = true;
    this.pendingTokens += sent.tokens;
    this.activeTokens += sent.memoryTokens;
    this.waiting.add(sent);
  }

  recordFirstByte(sent: SentRequest, nowMs: number): void {
    if (!this.removeWaiting(sent)) return;
    this.recordWait(sent, nowMs);
    if (sent.memoryTokens === 0) return;
    this.firstByteAtMs.set(sent, nowMs);
    const { expectedWaitMs, roundTripMs, sentAtMs, tokens, mayLoadParts } = sent;
    if (mayLoadParts || expectedWaitMs > QUIET_WAIT_MS) return;
    // The rate is that of an engine without contention; over many samples, the usual one is their mean.
    const delayMs =
      Math.max(0, nowMs - sentAtMs - roundTripMs - expectedWaitMs) / this.contention.usualFactor;
    this.timings.recordFirstToken({ prefilledTokens: tokens, delayMs });
  }

  /**
   * Records that a request is about to be cancelled because another endpoint answered it first. The delay so far counts
   * if it is above that of recent responses; otherwise an endpoint that stands still would look idle.
   */
  recordOvertaken(sent: SentRequest, nowMs: number): void {
    if (!this.waiting.has(sent)) return;
    const leastMs = nowMs - sent.sentAtMs;
    const excessMs = leastMs - sent.ownMs - sent.expectedWaitMs;
    if (sent.memoryTokens === 0 && excessMs > this.overtakenDelay.estimate(nowMs))
      this.overtakenDelay.record(excessMs, PROCESSING_EWMA_WEIGHT, nowMs);
    if (leastMs > this.processingMs)
      this.processingMs += (leastMs - this.processingMs) * PROCESSING_EWMA_WEIGHT;
    if (leastMs - sent.ownMs > this.observedWait.estimate(nowMs)) this.recordWait(sent, nowMs);
  }

  recordBytesReceived(nowMs: number): void {
    this.lastBytesAtMs = nowMs;
  }

  recordCompletion(sent: SentRequest, outcome: EndpointOutcome, nowMs: number): void {
    this.removeWaiting(sent);
    this.active = Math.max(0, this.active - 1);
    this.activeTokens = Math.max(0, this.activeTokens - sent.memoryTokens);
    const firstByteAtMs = this.firstByteAtMs.get(sent);
    this.firstByteAtMs.delete(sent);
    switch (outcome.type) {
      case 'answered':
        this.transportFailures = 0;
        this.suspendedUntilMs = Number.NEGATIVE_INFINITY;
        this.failureShare +=
          ((outcome.isFailure ? 1 : 0) - this.failureShare) * FAILURE_EWMA_WEIGHT;
        if (firstByteAtMs !== undefined && !outcome.isFailure) {
          const residenceMs = sent.ownMs + nowMs - firstByteAtMs;
          this.timings.recordResidence({ memoryTokens: sent.memoryTokens, residenceMs }, nowMs);
        }
        if (!outcome.isFailure) this.recordWork(sent, outcome.processingMs, nowMs);
        if (!outcome.isFailure)
          this.processingMs += (outcome.processingMs - this.processingMs) * PROCESSING_EWMA_WEIGHT;
        return;
      case 'rejected':
        this.suspendedUntilMs = Math.max(this.suspendedUntilMs, nowMs + REJECTION_SUSPENSION_MS);
        return;
      case 'transport_failed':
        this.recordTransportFailure(nowMs);
        return;
      case 'cancelled':
        return;
      default:
        outcome satisfies never;
    }
  }

  /**
   * Estimates the processing time of a plain call, in milliseconds. If the endpoint states its contention, it is the
   * duration of work times that, as a node of many sees few responses of each endpoint, plus the recent delay of calls
   * that were overtaken, which show no duration; otherwise their average.
   */
  estimateProcessingMs(nowMs: number): number {
    if (!this.contention.isReported) return this.processingMs;
    const serviceMs = this.timings.workTime.estimate(DEFAULT_PROCESSING_MS);
    const workMs = this.workTime.estimate(serviceMs);
    return (
      workMs * this.contention.estimateOver(workMs, nowMs) + this.overtakenDelay.estimate(nowMs)
    );
  }

  /** Suspends the endpoint; consecutive failures without a response in between suspend it longer. */
  recordTransportFailure(nowMs: number): void {
    // A crash fails many requests at once, which count as one failure.
    if (nowMs < this.suspendedUntilMs) return;
    this.transportFailures += 1;
    const factor = 2 ** Math.min(this.transportFailures - 1, 10);
    this.suspendedUntilMs = nowMs + Math.min(INITIAL_SUSPENSION_MS * factor, MAX_SUSPENSION_MS);
  }

  /** Ends a suspension, as the failures behind it were those of the network link. */
  recordLinkRegained(): void {
    this.transportFailures = 0;
    this.suspendedUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Returns how far the oldest request without a first byte exceeds its expected time. */
  getOldestWaitMs(nowMs: number): number {
    const oldest = this.waiting.values().next();
    return oldest.done ? 0 : Math.max(0, nowMs - oldest.value.sentAtMs - oldest.value.ownMs);
  }

  /**
   * Estimates the number of requests at the endpoint from all callers: those of this process and its
   * peers, or the endpoint's load report if that is recent and larger. Of many nodes, each knows a part of the
   * others, so that its view is never complete, and an aged report counts.
   */
  estimateRequests(nowMs: number, nodeCount = 1): EndpointRequests {
    let total = this.active + this.peerLoads.sum(nowMs).active;
    const slots = Math.max(1, this.lastReport?.slots ?? this.current.slots);
    const reported = this.findReportedLoad(nowMs, nodeCount);
    if (reported !== undefined) total = Math.max(total, reported.running + reported.waiting);
    // An engine can queue requests for lack of memory while slots are free, so its own queue length is
    // a lower bound.
    const waiting = Math.max(reported?.waiting ?? 0, total - slots);
    return { running: Math.max(0, total - waiting), waiting };
  }

  private findReportedLoad(nowMs: number, nodeCount: number): EndpointRequests | undefined {
    if (nodeCount > MAX_FULL_VIEW_NODES) return this.reported.estimate(this.active, nowMs);
    return this.getLoadAgeMs(nowMs) < LOAD_REPORT_MAX_AGE_MS ? this.lastReport : undefined;
  }

  /**
   * Estimates the tokens that the requests of all nodes occupy in the endpoint's memory. Of many nodes, the requests of
   * other zones are known only by their number; they count like the average one.
   */
  estimateMemoryTokens(nowMs: number, nodeCount = 1): number {
    const peers = this.peerLoads.sum(nowMs);
    const tokens = this.activeTokens + peers.activeTokens;
    if (nodeCount <= MAX_FULL_VIEW_NODES) return tokens;
    const { running, waiting } = this.estimateRequests(nowMs, nodeCount);
    const unknown = Math.max(0, running + waiting - this.active - peers.active);
    const margin = Math.sqrt(unknown) * UNKNOWN_REQUESTS_MARGIN;
    return tokens + (unknown + margin) * this.timings.meanMemoryTokens;
  }

  /**
   * Estimates the time until the memory for a request is free, in milliseconds. Requests in progress free the
   * memory that they occupy at the rate at which they end.
   *
   * @param capacityTokens memory of the endpoint in tokens; 0 if unknown
   */
  estimateMemoryWaitMs(
    memoryTokens: number,
    capacityTokens: number,
    nowMs: number,
    nodeCount = 1,
  ): number {
    if (capacityTokens === 0) return 0;
    const usedTokens = this.estimateMemoryTokens(nowMs, nodeCount);
    const missingTokens = usedTokens + memoryTokens - capacityTokens * MEMORY_FULL_SHARE;
    if (missingTokens <= 0) return 0;
    const runningTokens = Math.max(1, Math.min(usedTokens, capacityTokens));
    return (missingTokens / runningTokens) * this.timings.residenceMs;
  }

  /**
   * Estimates the queueing delay of a new request, in milliseconds. It is the largest of the delay of
   * recent responses, the delay so far of the oldest request without a first byte, and the times to
   * serve the queue and to prefill the pending prompts of all nodes, plus a delay per running request.
   */
  estimateWaitMs(nowMs: number, nodeCount = 1): number {
    const { running, waiting } = this.estimateRequests(nowMs, nodeCount);
    const { usualFactor } = this.contention;
    const peers = this.peerLoads.sum(nowMs);
    const pendingTokens = this.pendingTokens + peers.pendingTokens;
    return (
      Math.max(
        this.observedWait.estimate(nowMs),
        this.getOldestWaitMs(nowMs),
        peers.oldestWaitMs,
        waiting * WAITING_REQUEST_DELAY_MS * usualFactor,
        (pendingTokens * usualFactor) / (this.timings.prefillTokensPerMs * BUSY_PREFILL_SHARE),
      ) +
      running * RUNNING_REQUEST_DELAY_MS * usualFactor
    );
  }

  /**
   * Estimates the time until a request that already waits is answered, in milliseconds. Unlike `estimateWaitMs`, it
   * counts only work that is known to be queued, so it is low rather than high.
   */
  estimateRemainingWaitMs(sent: SentRequest, nowMs: number, nodeCount = 1): number {
    const { usualFactor } = this.contention;
    const pendingTokens = this.pendingTokens + this.peerLoads.sum(nowMs).pendingTokens;
    return Math.max(
      sent.sentAtMs + sent.ownMs + sent.expectedWaitMs - nowMs,
      this.estimateRequests(nowMs, nodeCount).waiting * WAITING_REQUEST_DELAY_MS * usualFactor,
      (pendingTokens * usualFactor) / (this.timings.prefillTokensPerMs * BUSY_PREFILL_SHARE),
    );
  }

  private recordWork(sent: SentRequest, processingMs: number, nowMs: number): void {
    // A call that waited says more about the queue than about the work.
    if (!this.contention.isReported || sent.memoryTokens > 0 || sent.expectedWaitMs > 0) return;
    const spentMs = Math.max(0, processingMs - sent.roundTripMs);
    // The report came at the end of the work.
    const workMs = spentMs / this.contention.estimateOver(spentMs, nowMs);
    this.workTime.record(workMs);
    this.timings.workTime.record(workMs);
  }

  private recordWait({ sentAtMs, ownMs }: SentRequest, nowMs: number): void {
    const waitMs = Math.max(0, nowMs - sentAtMs - ownMs);
    this.observedWait.record(waitMs, WAIT_EWMA_WEIGHT, nowMs);
  }

  private removeWaiting(sent: SentRequest): boolean {
    if (!this.waiting.delete(sent)) return false;
    this.pendingTokens = Math.max(0, this.pendingTokens - sent.tokens);
    return true;
  }
}
