import {
  computeAccountShare,
  isDemandReportable,
  RateMeter,
  RetryBudget,
  TokenBucket,
  type DemandRow,
  type DemandTable,
} from '@lovagearch/admission';
import type { AccountId, NodeId } from '@lovagearch/common';

/** Limits of an account over all nodes, from its configuration. */
export interface AccountLimits {
  readonly promptTokensPerSecond: number;
  readonly maxConcurrent: number;
}

/** What a gate knows of the other nodes at one moment. */
export interface GateContext {
  readonly limits: AccountLimits;
  readonly demands: DemandTable;
  readonly otherMembers: readonly NodeId[];
  /** Live nodes of all regions. */
  readonly liveNodes: number;
  readonly nowMs: number;
}

/** Longest pause by which a node with less than one concurrent request keeps to its share. */
const MAX_PAUSE_MS = 10_000;

/** Limits, demand and retry budget of one account on this node. */
export class AccountGate {
  readonly retries: RetryBudget;

  private readonly tokenRate: RateMeter;

  private readonly bucket: TokenBucket;

  private running = 0;

  private waiting = 0;

  private nextStartMs = -Infinity;

  private constructor(
    readonly account: AccountId,
    tokensPerSecond: number,
    nowMs: number,
  ) {
    this.retries = RetryBudget.create(nowMs);
    this.tokenRate = RateMeter.create(nowMs);
    this.bucket = TokenBucket.create(tokensPerSecond, nowMs);
  }

  static create(account: AccountId, tokensPerSecond: number, nowMs: number): AccountGate {
    return new AccountGate(account, tokensPerSecond, nowMs);
  }

  /** Tells whether nothing of the account runs or waits on this node. */
  isIdle(): boolean {
    return this.running === 0 && this.waiting === 0;
  }

  /** Records a request that wants to run, whether it is admitted or not. */
  recordArrival(tokens: number, nowMs: number): void {
    this.tokenRate.add(tokens, nowMs);
    this.retries.recordRequest();
  }

  /** Returns the requests that run and wait on this node. */
  getUse(): { readonly running: number; readonly waiting: number } {
    const { running, waiting } = this;
    return { running, waiting };
  }

  addWaiting(delta: number): void {
    this.waiting += delta;
  }

  /** Computes the time until the account's token rate admits a request, in milliseconds. */
  computeRateWaitMs(tokens: number, context: GateContext): number {
    this.updateRate(context);
    return this.bucket.computeWaitMs(tokens, context.nowMs);
  }

  /** Tells whether the account may start a request now. */
  canStart(tokens: number, context: GateContext): boolean {
    const share = this.computeConcurrentShare(context);
    if (this.running >= Math.max(1, Math.floor(share))) return false;
    if (context.nowMs < this.nextStartMs) return false;
    return this.computeRateWaitMs(tokens, context) === 0;
  }

  /** Records a start and takes its tokens. */
  recordStart(tokens: number, nowMs: number): void {
    this.bucket.tryTake(tokens, nowMs);
    this.running++;
  }

  /** Records the end of a request that ran for a time. */
  recordEnd(ranMs: number, context: GateContext): void {
    this.running--;
    const share = this.computeConcurrentShare(context);
    if (share >= 1) return;
    // A share of 0.2 is kept by running one request for a fifth of the time.
    const pauseMs = share > 0 ? ranMs * (1 / share - 1) : MAX_PAUSE_MS;
    this.nextStartMs = context.nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
  }

  /** Returns the account's demand if it is under pressure on this node. */
  getPressedDemand({ limits, liveNodes, nowMs }: GateContext): DemandRow | undefined {
    const tokensPerSecond = this.tokenRate.getPerSecond(nowMs);
    const concurrent = this.running + this.waiting;
    const pressed =
      isDemandReportable(limits.promptTokensPerSecond, liveNodes, tokensPerSecond) ||
      isDemandReportable(limits.maxConcurrent, liveNodes, concurrent);
    return pressed ? { account: this.account, tokensPerSecond, concurrent } : undefined;
  }

  private updateRate(context: GateContext): void {
    const { demands, limits, liveNodes, nowMs, otherMembers } = context;
    const share = computeAccountShare({
      limit: limits.promptTokensPerSecond,
      liveNodes,
      ownDemand: this.tokenRate.getPerSecond(nowMs),
      peerDemands: demands.listDemands(this.account, 'tokensPerSecond', otherMembers, nowMs),
      hasRecentPeerReports: demands.hasRecentReports(otherMembers, nowMs),
    });
    this.bucket.updateRate(share, nowMs);
  }

  private computeConcurrentShare(context: GateContext): number {
    const { demands, limits, liveNodes, nowMs, otherMembers } = context;
    return computeAccountShare({
      limit: limits.maxConcurrent,
      liveNodes,
      ownDemand: this.running + this.waiting,
      peerDemands: demands.listDemands(this.account, 'concurrent', otherMembers, nowMs),
      hasRecentPeerReports: demands.hasRecentReports(otherMembers, nowMs),
    });
  }
}
