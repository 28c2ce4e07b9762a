import { Contention } from '@lovagearch/estimation';
import { LOAD_REPORT_DECAY_MS, USUAL_LOAD_DECAY_MS, USUAL_LOAD_WEIGHT } from './constants.js';
import type { LoadReport } from './types.js';

/** Requests at an endpoint from all nodes. */
export interface EndpointRequests {
  readonly running: number;
  readonly waiting: number;
}

/**
 * What one endpoint reported about its load: the last report, the usual load, and the contention. An old report says
 * little about the load now, as most of its requests have ended since, but the average of many still says what an
 * endpoint usually has.
 */
export class ReportedLoad {
  /** How much longer work currently takes than usual. */
  readonly contention = Contention.create();

  private report: LoadReport | undefined;

  private atMs = Number.NEGATIVE_INFINITY;

  private isOwn = false;

  /** This node's requests at the endpoint when the last report arrived. */
  private ownActive = 0;

  private usualRunning = 0;

  private usualWaiting = 0;

  private reports = 0;

  static create(): ReportedLoad {
    return new ReportedLoad();
  }

  get lastReport(): LoadReport | undefined {
    return this.report;
  }

  /** Whether the last report came with a response to this process and not from a peer. */
  get isDirect(): boolean {
    return this.isOwn;
  }

  get reportedAtMs(): number {
    return this.atMs;
  }

  /** @param ownActive this node's requests at the endpoint */
  accept(report: LoadReport, atMs: number, isDirect: boolean, ownActive: number): void {
    this.report = report;
    this.atMs = atMs;
    this.isOwn = isDirect;
    this.ownActive = ownActive;
    this.reports += 1;
    const weight = Math.max(USUAL_LOAD_WEIGHT, 1 / this.reports);
    this.usualRunning += (report.running - this.usualRunning) * weight;
    this.usualWaiting += (report.waiting - this.usualWaiting) * weight;
    if (report.workPercent !== undefined) this.contention.record(report.workPercent, atMs);
  }

  /**
   * Estimates the load now: the last report, aged towards the usual load, plus the requests that this node has sent
   * since.
   *
   * @returns undefined without a report
   */
  estimate(ownActive: number, nowMs: number): EndpointRequests | undefined {
    const ageMs = Math.max(0, nowMs - this.atMs);
    if (this.report === undefined) return undefined;
    const weight = Math.exp(-ageMs / LOAD_REPORT_DECAY_MS);
    const usualShare = Math.exp(-ageMs / USUAL_LOAD_DECAY_MS);
    const usualRunning = this.usualRunning * usualShare;
    const usualWaiting = this.usualWaiting * usualShare;
    const { running, waiting } = this.report;
    const sentSince = Math.max(0, ownActive - this.ownActive);
    return {
      running: usualRunning + (running - usualRunning) * weight + sentSince,
      waiting: usualWaiting + (waiting - usualWaiting) * weight,
    };
  }
}
