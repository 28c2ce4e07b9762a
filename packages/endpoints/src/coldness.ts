import type { EndpointRecord } from './types.js';

/**
 * Time within which a registration that an endpoint wrote earlier can arrive, in milliseconds: the maximum age of a
 * copy of the registrations that one node passes on to another.
 */
export const REGISTRATION_LAG_MS = 3_000;
/**
 * Time after which a request without a response no longer holds back the next one to a cold endpoint, in milliseconds;
 * its caller may have left.
 */
export const MAX_UNANSWERED_MS = 6_000;
/**
 * Time that a response may take without a delay of the next request, in milliseconds. A request that took longer may
 * have waited behind a link and arrived late, close to the next one.
 */
export const USUAL_RESPONSE_MS = 500;
/** Time of a response from which its request has probably waited behind a link, in milliseconds. */
export const LATE_RESPONSE_MS = 1_500;

/** Why an endpoint counts as cold. */
export type ColdReason = 'crashed' | 'reported' | 'restarted' | 'zone_restored';

/** A change that is worth a log line. */
export type ColdChange =
  | { readonly type: 'cold'; readonly reason: ColdReason; readonly forMs: number | undefined }
  | { readonly type: 'warm'; readonly reason: ColdReason };

/** Evidence that only a registration written afterwards refutes. */
interface Evidence {
  readonly heartbeat: number;
  /** Clock reading from which a received registration can have been written after the evidence. */
  readonly refutableFromMs: number;
  readonly atMs: number;
}

type ReportedWarmup = Pick<EndpointRecord, 'heartbeat' | 'warmupRemainingMs'>;

/**
 * Whether one start of an endpoint is cold, which is concluded from what it reports and from lost connections. Doubt
 * counts as cold, since a cold endpoint that gets too many requests crashes.
 *
 * @example
 * coldness.recordCrash(endpoint.record.heartbeat, clock.nowMs());
 * if (coldness.isCold(clock.nowMs())) sendElsewhere();
 */
export class EndpointColdness {
  private untilMs = Number.NEGATIVE_INFINITY;

  private reason: ColdReason = 'reported';

  private evidence: Evidence | undefined;

  private lastReport: ReportedWarmup | undefined;

  private wasCold = false;

  /** Clock reading of the last request sent while cold that has no response yet. */
  private unansweredSinceMs: number | undefined;

  /** Clock reading up to which the last answered request can have arrived, without the usual time of a response. */
  private arrivedUntilMs = Number.NEGATIVE_INFINITY;

  static create(): EndpointColdness {
    return new EndpointColdness();
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  /** Applies a registration of this start; one that was applied before is ignored, as its time runs since then. */
  applyRegistration({ heartbeat, warmupRemainingMs }: ReportedWarmup, nowMs: number): void {
    const last = this.lastReport;
    if (last?.heartbeat === heartbeat && last.warmupRemainingMs === warmupRemainingMs) return;
    this.lastReport = { heartbeat, warmupRemainingMs };
    const { evidence } = this;
    const isRefuted =
      evidence === undefined ||
      (heartbeat > evidence.heartbeat && nowMs >= evidence.refutableFromMs);
    const reportedUntilMs = nowMs + warmupRemainingMs;
    if (!isRefuted && reportedUntilMs <= this.untilMs) return;
    if (isRefuted) this.evidence = undefined;
    if (warmupRemainingMs > 0) this.reason = 'reported';
    this.untilMs = reportedUntilMs;
  }

  /** Records that another start preceded this one, whose first registration may not state its cold time. */
  recordRestart(
    { heartbeat, warmupRemainingMs }: ReportedWarmup,
    durationMs: number,
    nowMs: number,
  ): void {
    this.lastReport = { heartbeat, warmupRemainingMs };
    this.reason = 'restarted';
    this.untilMs = nowMs + (warmupRemainingMs > 0 ? warmupRemainingMs : durationMs);
    this.evidence = { heartbeat, refutableFromMs: nowMs, atMs: nowMs };
  }

  /** Records lost connections that look like a crash; the endpoint is cold for its cold time after it works again. */
  recordCrash(heartbeat: number, nowMs: number): void {
    this.reason = 'crashed';
    this.untilMs = Number.POSITIVE_INFINITY;
    this.addEvidence(heartbeat, nowMs);
  }

  /** Records that the zone of the endpoint is no longer evacuated. */
  recordZoneRestored(heartbeat: number, durationMs: number, nowMs: number): void {
    if (nowMs + durationMs <= this.untilMs) return;
    this.reason = 'zone_restored';
    this.untilMs = nowMs + durationMs;
    this.addEvidence(heartbeat, nowMs);
  }

  /**
   * Applies the response to a request.
   *
   * @param coldRemainingMs time that the response states
   * @param sentAtMs clock reading at which the request was sent
   */
  recordResponse(
    coldRemainingMs: number | undefined,
    isSuccess: boolean,
    durationMs: number,
    sentAtMs: number,
    nowMs: number,
  ): void {
    if (this.unansweredSinceMs !== undefined && sentAtMs >= this.unansweredSinceMs) {
      const isLate = nowMs - this.unansweredSinceMs > LATE_RESPONSE_MS;
      this.arrivedUntilMs = isLate ? nowMs : nowMs - USUAL_RESPONSE_MS;
      this.unansweredSinceMs = undefined;
    }
    const { evidence } = this;
    if (evidence !== undefined && sentAtMs < evidence.atMs) return;
    if (coldRemainingMs !== undefined) {
      this.untilMs = nowMs + coldRemainingMs;
      this.reason = 'reported';
      this.evidence = undefined;
      if (coldRemainingMs > 0) this.addEvidence(this.lastReport?.heartbeat ?? 0, nowMs);
    } else if (isSuccess && this.untilMs === Number.POSITIVE_INFINITY)
      this.untilMs = nowMs + durationMs;
  }

  /** Records a request that is sent; only those to a cold endpoint hold back the next one. */
  recordSent(nowMs: number): void {
    this.unansweredSinceMs = this.isCold(nowMs) ? nowMs : undefined;
  }

  /**
   * Whether the last request to the cold endpoint can't arrive together with another one: a request that waits behind
   * a link must not be followed by more, which would all arrive at once.
   *
   * @param intervalMs interval at which this node may send to the endpoint, in milliseconds
   */
  canSend(intervalMs: number, nowMs: number): boolean {
    if (!this.isCold(nowMs)) return true;
    if (this.unansweredSinceMs !== undefined)
      return nowMs - this.unansweredSinceMs >= Math.max(MAX_UNANSWERED_MS, intervalMs);
    return nowMs - this.arrivedUntilMs >= intervalMs;
  }

  /** Returns whether the endpoint has become cold or warm since the last call. */
  takeChange(nowMs: number): ColdChange | undefined {
    const { reason, untilMs } = this;
    const isCold = this.isCold(nowMs);
    if (isCold === this.wasCold) return undefined;
    this.wasCold = isCold;
    if (!isCold) return { type: 'warm', reason };
    return {
      type: 'cold',
      reason,
      forMs: Number.isFinite(untilMs) ? Math.round(untilMs - nowMs) : undefined,
    };
  }

  private addEvidence(heartbeat: number, nowMs: number): void {
    this.evidence = { heartbeat, refutableFromMs: nowMs + REGISTRATION_LAG_MS, atMs: nowMs };
  }
}
