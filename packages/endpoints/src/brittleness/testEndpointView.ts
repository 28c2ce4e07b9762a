import {
  computeRejectionShare,
  EndpointBrittleness,
  RejectionBudget,
  type RejectionShare,
} from '../index.js';

const SUSPENSION_MS = 400;

/** What a node knows of one start of an endpoint. */
export class EndpointView {
  readonly budget = RejectionBudget.create();

  readonly brittleness = EndpointBrittleness.create();

  active = 0;

  suspendedUntilMs = 0;

  heardAtMs = 0;

  private share: RejectionShare | undefined;

  constructor(readonly endpointId: string) {}

  getShare(limit: number, nodeName: string, names: readonly string[]): RejectionShare {
    this.share ??= computeRejectionShare(limit, this.endpointId, nodeName, names);
    return this.share;
  }

  /** @param rejectionsPerS what the response names, if anything */
  recordResponse(sentAtMs: number, rejectionsPerS: number | undefined, nowMs: number): void {
    this.active -= 1;
    this.heardAtMs = nowMs;
    if (rejectionsPerS === undefined) return;
    this.brittleness.applyStatement({ type: 'named', rejectionsPerS }, sentAtMs, nowMs);
  }

  recordLoss(nowMs: number): void {
    this.active -= 1;
    this.suspendedUntilMs = nowMs + SUSPENSION_MS;
  }
}
