import { MS_PER_SECOND, type Random } from '@lovagearch/common';
import type { RejectionShare } from './rejectionShare.js';

/**
 * Window in which rejections are counted, in milliseconds: the second of the platform's rule, and 200 ms by which the
 * way to the endpoint may differ between two requests.
 */
const REJECTION_WINDOW_MS = 1_200;
/**
 * Time in which an endpoint that is heard has rejected a request for which it has no room, in milliseconds: a round trip
 * between regions of 16 ms, and delays of two busy event loops.
 */
const REJECTION_DELAY_MS = 75;
/**
 * Time after which a request counts as accepted though its endpoint was not heard since, in milliseconds. A sound endpoint
 * may be silent for a second, and rejects then what has arrived meanwhile.
 */
const MAX_UNCONFIRMED_MS = 1_200;
/** Part of its requests in progress that a node keeps at an endpoint after a rejection. */
const KEPT_SHARE = 0.7;
/** Mean time between two attempts to have one request more in progress at an endpoint, in milliseconds. */
const GROWTH_INTERVAL_MS = 4_000;
/** Shortest interval at which nodes learn of load reports, in milliseconds; all see the same free slots meanwhile. */
const REPORT_INTERVAL_MS = 150;
/** Time for which a probe may be sent, in milliseconds; unused probes lapse, or all nodes could send one at once. */
const PROBE_WINDOW_MS = 1_000;

/** What this node knows of an endpoint at the time of a decision. */
export interface RejectionRisk {
  readonly share: RejectionShare;
  /** Requests of this node in progress at the endpoint. */
  readonly active: number;
  /** Clock reading of the last bytes that any node is known to have received from the endpoint. */
  readonly heardAtMs: number;
  /** What a recent load report shows; undefined without one. */
  readonly report: RoomReport | undefined;
  readonly nodeCount: number;
  /** Requests per second that this node has for the endpoint's service. */
  readonly demandPerS: number;
}

/** A load report of an endpoint that would run further requests at once. */
export interface RoomReport {
  readonly freeSlots: number;
  readonly reportedAtMs: number;
}

/** Why a node sends no request to a brittle endpoint. */
export type RejectionBlock =
  /** The rejections that this node may cause have happened, or may still follow from requests on their way. */
  | 'share_used'
  /** As many requests of this node are in progress as the endpoint had room for. */
  | 'no_room'
  /** This node may not cause a rejection, and room is not evident. */
  | 'no_share';

interface UnconfirmedRequest {
  readonly sentAtMs: number;
  /** Clock reading from which the endpoint is known to have handled what arrived with the request. */
  heardFromMs: number | undefined;
}

/**
 * Limits the rejections that one node causes at one start of a brittle endpoint, and learns from them how many requests
 * the endpoint has room for: each rejection reduces the node's requests there by a share, and later they grow by one
 * at a time.
 */
export class RejectionBudget {
  /** Requests that the endpoint may still reject, by id. */
  private readonly unconfirmed = new Map<string, UnconfirmedRequest>();

  private rejectedAtMs: number[] = [];

  /** Requests of this node that the endpoint has room for; undefined until its first rejection. */
  private room: number | undefined;

  private nextGrowthAtMs = Number.NEGATIVE_INFINITY;

  /** Clock reading from which the next probe may be sent; undefined until it is first asked for. */
  private nextProbeAtMs: number | undefined;

  /** Clock reading of the load report that was last considered, and whether this node may still use a slot of it. */
  private consideredReportMs = Number.NEGATIVE_INFINITY;

  private mayUseSlot = false;

  static create(): RejectionBudget {
    return new RejectionBudget();
  }

  /** Requests of this node that the endpoint has room for; undefined if it has rejected none. */
  get knownRoom(): number | undefined {
    return this.room;
  }

  /** Creates an independent copy, on which a question does not use up the time of a probe. */
  createCopy(): RejectionBudget {
    const copy = Object.assign(RejectionBudget.create(), this);
    copy.rejectedAtMs = [...this.rejectedAtMs];
    return copy;
  }

  /** Counts the rejections of the last second, and those that requests on their way may still lead to. */
  countRisk(heardAtMs: number, nowMs: number): number {
    this.forgetPast(heardAtMs, nowMs);
    return this.unconfirmed.size + this.rejectedAtMs.length;
  }

  /**
   * Returns what forbids this node to send a request now, or undefined.
   *
   * @example
   * if (budget.findBlock(risk, clock.nowMs(), random) === undefined) send(endpoint);
   */
  findBlock(risk: RejectionRisk, nowMs: number, random: Random): RejectionBlock | undefined {
    const { share, active, heardAtMs } = risk;
    const riskCount = this.countRisk(heardAtMs, nowMs);
    switch (share.type) {
      case 'allowed':
        if (riskCount >= share.rejections) return 'share_used';
        break;
      case 'probe':
        if (riskCount > 0) return 'share_used';
        if (
          !this.hasEvidentRoom(risk, share.slotFactor, random) &&
          !this.isProbeDue(share.intervalMs, nowMs, random)
        )
          return 'no_share';
        break;
      default:
        return share satisfies never;
    }
    const isFull = this.room !== undefined && active >= this.room;
    return isFull && nowMs < this.nextGrowthAtMs ? 'no_room' : undefined;
  }

  /** @param active requests of this node in progress at the endpoint, without this one */
  recordSent(
    requestId: string,
    { share, active }: RejectionRisk,
    nowMs: number,
    random: Random,
  ): void {
    this.unconfirmed.set(requestId, { sentAtMs: nowMs, heardFromMs: undefined });
    if (share.type === 'probe') {
      if (this.mayUseSlot) this.mayUseSlot = false;
      else this.delayProbe(share.intervalMs, nowMs, random);
    }
    if (this.room === undefined || active < this.room) return;
    this.room = active + 1;
    this.delayGrowth(nowMs, random);
  }

  /**
   * Whether a request that was recorded may still leave: it may have waited for a connection, or have been placed at the
   * same time as others. Its time begins anew.
   */
  confirmSend(requestId: string, { share, heardAtMs }: RejectionRisk, nowMs: number): boolean {
    this.unconfirmed.delete(requestId);
    const allowed = share.type === 'allowed' ? share.rejections : 1;
    if (this.countRisk(heardAtMs, nowMs) >= allowed) return false;
    this.unconfirmed.set(requestId, { sentAtMs: nowMs, heardFromMs: undefined });
    return true;
  }

  /** Records a response of the endpoint that is no rejection. */
  recordAccepted(requestId: string): void {
    this.unconfirmed.delete(requestId);
  }

  /** @param active requests of this node in progress at the endpoint, without the rejected one */
  recordRejected(requestId: string, active: number, nowMs: number, random: Random): void {
    this.unconfirmed.delete(requestId);
    this.rejectedAtMs.push(nowMs);
    const accepted = Math.max(0, active - this.unconfirmed.size);
    this.room = Math.max(1, Math.floor(Math.min(accepted, this.room ?? accepted) * KEPT_SHARE));
    this.delayGrowth(nowMs, random);
    this.nextProbeAtMs = undefined;
    this.mayUseSlot = false;
  }

  /**
   * Whether this node is one of those that use the free slots of the last load report. All nodes see it, so that each
   * draws once, with a chance at which they use a share of the slots together if the others have as many requests.
   */
  private hasEvidentRoom(
    { report, nodeCount, demandPerS }: RejectionRisk,
    slotFactor: number,
    random: Random,
  ): boolean {
    if (report === undefined) return false;
    if (report.reportedAtMs < this.consideredReportMs + REPORT_INTERVAL_MS) return this.mayUseSlot;
    this.consideredReportMs = report.reportedAtMs;
    const nodesWithRequests =
      nodeCount * Math.min(1, (demandPerS * REPORT_INTERVAL_MS) / MS_PER_SECOND);
    this.mayUseSlot = random() * nodesWithRequests < report.freeSlots * slotFactor;
    return this.mayUseSlot;
  }

  private isProbeDue(intervalMs: number, nowMs: number, random: Random): boolean {
    if (this.nextProbeAtMs === undefined) this.delayProbe(intervalMs, nowMs, random);
    const sinceMs = nowMs - (this.nextProbeAtMs ?? nowMs);
    if (sinceMs >= 0 && sinceMs < PROBE_WINDOW_MS) return true;
    if (sinceMs >= PROBE_WINDOW_MS) this.delayProbe(intervalMs, nowMs, random);
    return false;
  }

  /** Exponential times keep the probes of many nodes apart. */
  private delayProbe(intervalMs: number, nowMs: number, random: Random): void {
    this.nextProbeAtMs = nowMs - Math.log(1 - random()) * intervalMs;
  }

  private delayGrowth(nowMs: number, random: Random): void {
    this.nextGrowthAtMs = nowMs + GROWTH_INTERVAL_MS * (0.5 + random());
  }

  private forgetPast(heardAtMs: number, nowMs: number): void {
    for (const [requestId, request] of this.unconfirmed) {
      if (heardAtMs >= request.sentAtMs + REJECTION_DELAY_MS) request.heardFromMs ??= nowMs;
      // The rejection may be behind the bytes of other responses.
      const isHeard = nowMs - (request.heardFromMs ?? nowMs) >= REJECTION_DELAY_MS;
      if (isHeard || nowMs - request.sentAtMs >= MAX_UNCONFIRMED_MS)
        this.unconfirmed.delete(requestId);
    }
    while (nowMs - (this.rejectedAtMs[0] ?? nowMs) >= REJECTION_WINDOW_MS)
      this.rejectedAtMs.shift();
  }
}
