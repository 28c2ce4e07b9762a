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

/** Limits of an account across all nodes, as configured. */
export interface AccountLimits {
  readonly promptTokensPerSecond: number;
  readonly maxConcurrent: number;
}

/** Limits of an account and state of the cluster, as known to this node at `nowMs`. */
export interface GateContext {
  readonly limits: AccountLimits;
  readonly demands: DemandTable;
  readonly otherMembers: readonly NodeId[];
  /** Number of live nodes in all regions. */
  readonly liveNodes: number;
  readonly nowMs: number;
}

/** Longest delay between requests on a node whose share is less than one concurrent request. */
const MAX_PAUSE_MS = 10_000;

/** Enforces the limits of one account on this node and tracks its demand and retry budget. */
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

  /** Returns whether the account has no running or waiting requests on this node. */
  isIdle(): boolean {
    return this.running === 0 && this.waiting === 0;
  }

  /** Records an incoming request, whether or not it is admitted. */
  recordArrival(tokens: number, nowMs: number): void {
    this.tokenRate.add(tokens, nowMs);
    this.retries.recordRequest();
  }

  /** Returns the numbers of running and waiting requests on this node. */
  getUse(): { readonly running: number; readonly waiting: number } {
    const { running, waiting } = this;
    return { running, waiting };
  }

  addWaiting(delta: number): void {
    this.waiting += delta;
  }

  /** Computes the time until the account's token rate limit allows a request, in milliseconds. */
  computeRateWaitMs(tokens: number, context: GateContext): number {
    this.updateRate(context);
    return this.bucket.computeWaitMs(tokens, context.nowMs);
  }

  /** Returns whether the account may start a request now. */
  canStart(tokens: number, context: GateContext): boolean {
    const share = this.computeConcurrentShare(context);
    if (this.running >= Math.max(1, Math.floor(share))) return false;
    if (context.nowMs < this.nextStartMs) return false;
    return this.computeRateWaitMs(tokens, context) === 0;
  }

  /** Records the start of a request and takes its tokens from the bucket. */
  recordStart(tokens: number, nowMs: number): void {
    this.bucket.tryTake(tokens, nowMs);
    this.running++;
  }

  /** Records the end of a request, and delays the next one if the share is below one request. */
  recordEnd(ranMs: number, context: GateContext): void {
    this.running--;
    const share = this.computeConcurrentShare(context);
    if (share >= 1) return;
    // A share of 0.2 means that one request may run for a fifth of the time.
    const pauseMs = share > 0 ? ranMs * (1 / share - 1) : MAX_PAUSE_MS;
    this.nextStartMs = context.nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
  }

  /** Returns the account's demand if it is high enough on this node to be reported to peers. */
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
