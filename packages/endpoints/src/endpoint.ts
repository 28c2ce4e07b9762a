import {
  DEFAULT_WORK_MS,
  FAILURE_EWMA_WEIGHT,
  FIRST_SUSPENSION_MS,
  LOAD_REPORT_DECAY_MS,
  MAX_SUSPENSION_MS,
  OBSERVED_WAIT_DECAY_MS,
  PREFILL_TOKENS_PER_MS,
  REJECTION_PAUSE_MS,
  RUNNING_REQUEST_MS,
  WAIT_EWMA_WEIGHT,
  WAITING_REQUEST_MS,
  WORK_EWMA_WEIGHT,
} from './constants.js';
import type { EndpointRecord, LoadReport } from './types.js';

/** How an exchange with an endpoint ended, as far as it tells something about the endpoint. */
export type EndpointOutcome =
  | { readonly type: 'answered'; readonly isFailure: boolean; readonly workMs: number }
  | { readonly type: 'cancelled' }
  | { readonly type: 'rejected' }
  | { readonly type: 'transport_failed' };

/** A request of this process at an endpoint, until its first byte. */
export interface SentRequest {
  /** Prompt tokens that the endpoint is expected to read. */
  readonly tokens: number;
  /** Time to the first byte if nothing waited, in milliseconds. */
  readonly ownMs: number;
  readonly sentMs: number;
}

/** One start of an endpoint: its registration, and what exchanges with it have shown. */
export class Endpoint {
  /** Requests of this process at the endpoint. */
  active = 0;

  /** Requests of this process that have had no byte yet, in the order of their sending. */
  private readonly waiting = new Set<SentRequest>();

  private pendingTokens = 0;

  /** Time that the last answers waited beyond their own work. */
  private observedWaitMs = 0;

  private observedMs = Number.NEGATIVE_INFINITY;

  /** Clock reading of the last bytes from the endpoint, on any exchange. */
  lastHeardMs = Number.NEGATIVE_INFINITY;

  private report: LoadReport | undefined;

  private reportMs = 0;

  /** Requests sent less requests ended since the report. */
  private sinceReport = 0;

  private workMs = DEFAULT_WORK_MS;

  private failureShare = 0;

  private transportFailures = 0;

  private suspendedUntilMs = Number.NEGATIVE_INFINITY;

  private heartbeatMs: number;

  private constructor(
    private current: EndpointRecord,
    nowMs: number,
  ) {
    this.heartbeatMs = nowMs;
  }

  static create(record: EndpointRecord, nowMs: number): Endpoint {
    return new Endpoint(record, nowMs);
  }

  get record(): EndpointRecord {
    return this.current;
  }

  get meanWorkMs(): number {
    return this.workMs;
  }

  /** Share of recent answers that were failures, from 0 to 1. */
  get recentFailureShare(): number {
    return this.failureShare;
  }

  /** Takes in a newer registration of the same start. */
  updateRecord(record: EndpointRecord, nowMs: number): void {
    if (record.heartbeat !== this.current.heartbeat) this.heartbeatMs = nowMs;
    this.current = record;
  }

  /** Returns the time since the registration last changed. */
  getHeartbeatAgeMs(nowMs: number): number {
    return nowMs - this.heartbeatMs;
  }

  isSuspended(nowMs: number): boolean {
    return nowMs < this.suspendedUntilMs;
  }

  recordLoad(report: LoadReport, nowMs: number): void {
    this.report = report;
    this.reportMs = nowMs;
    this.sinceReport = 0;
  }

  /** Returns the time since the last load report; infinite without one. */
  getLoadAgeMs(nowMs: number): number {
    return this.report === undefined ? Number.POSITIVE_INFINITY : nowMs - this.reportMs;
  }

  /** Records a request; the result is passed to `recordFirstByte` or `recordNoByte`. */
  recordSent(tokens: number, ownMs: number, nowMs: number): SentRequest {
    const sent = { tokens, ownMs, sentMs: nowMs };
    this.active += 1;
    this.pendingTokens += tokens;
    this.sinceReport += 1;
    this.waiting.add(sent);
    return sent;
  }

  recordFirstByte(sent: SentRequest, nowMs: number): void {
    if (!this.removeWaiting(sent)) return;
    const waitMs = Math.max(0, nowMs - sent.sentMs - sent.ownMs);
    const previousMs = this.getObservedWaitMs(nowMs);
    this.observedWaitMs = previousMs + (waitMs - previousMs) * WAIT_EWMA_WEIGHT;
    this.observedMs = nowMs;
  }

  /** Records that a request ended without a byte. */
  recordNoByte(sent: SentRequest): void {
    this.removeWaiting(sent);
  }

  /**
   * Estimates the time that a new request waits before its own work begins, in milliseconds: the
   * largest of what the last answers waited, what the oldest request without an answer has waited
   * already, and what the reported queue and the own unread prompts take.
   */
  estimateWaitMs(nowMs: number): number {
    const { running, waiting } = this.estimateRequests(nowMs);
    const oldest = this.waiting.values().next();
    const oldestMs = oldest.done ? 0 : nowMs - oldest.value.sentMs - oldest.value.ownMs;
    return Math.max(
      this.getObservedWaitMs(nowMs),
      oldestMs,
      waiting * WAITING_REQUEST_MS + running * RUNNING_REQUEST_MS,
      this.pendingTokens / PREFILL_TOKENS_PER_MS,
    );
  }

  recordHeard(nowMs: number): void {
    this.lastHeardMs = nowMs;
  }

  recordEnd(outcome: EndpointOutcome, nowMs: number): void {
    this.active = Math.max(0, this.active - 1);
    this.sinceReport -= 1;
    switch (outcome.type) {
      case 'answered':
        this.transportFailures = 0;
        this.suspendedUntilMs = Number.NEGATIVE_INFINITY;
        this.failureShare +=
          ((outcome.isFailure ? 1 : 0) - this.failureShare) * FAILURE_EWMA_WEIGHT;
        if (!outcome.isFailure) this.workMs += (outcome.workMs - this.workMs) * WORK_EWMA_WEIGHT;
        return;
      case 'rejected':
        this.suspendedUntilMs = Math.max(this.suspendedUntilMs, nowMs + REJECTION_PAUSE_MS);
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

  private removeWaiting(sent: SentRequest): boolean {
    if (!this.waiting.delete(sent)) return false;
    this.pendingTokens = Math.max(0, this.pendingTokens - sent.tokens);
    return true;
  }

  private getObservedWaitMs(nowMs: number): number {
    return this.observedWaitMs * Math.exp(-(nowMs - this.observedMs) / OBSERVED_WAIT_DECAY_MS);
  }

  /** Suspends the endpoint, longer with each failure that no answer interrupts. */
  recordTransportFailure(nowMs: number): void {
    // The requests of one crash fail together; they are one failure.
    if (nowMs < this.suspendedUntilMs) return;
    this.transportFailures += 1;
    const factor = 2 ** Math.min(this.transportFailures - 1, 10);
    this.suspendedUntilMs = nowMs + Math.min(FIRST_SUSPENSION_MS * factor, MAX_SUSPENSION_MS);
  }

  /**
   * Estimates the requests at the endpoint from all callers: the last report, which loses weight with
   * its age, and what this process sent and saw end since.
   */
  estimateRequests(nowMs: number): { readonly running: number; readonly waiting: number } {
    const { report } = this;
    const slots = report?.slots ?? Math.max(1, this.current.slots);
    if (report === undefined) return { running: Math.min(this.active, slots), waiting: 0 };
    const weight = Math.exp(-(nowMs - this.reportMs) / LOAD_REPORT_DECAY_MS);
    const reported = (report.running + report.waiting) * weight;
    const total = Math.max(this.active, reported + this.sinceReport);
    const running = Math.min(total, Math.max(report.running, slots - report.waiting));
    // An engine holds requests back for memory while slots are free, so its own count goes first.
    return { running, waiting: Math.max(report.waiting * weight, total - slots, 0) };
  }
}
