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
export interface AccountLimitContext {
  readonly limits: AccountLimits;
  readonly demands: DemandTable;
  readonly otherMembers: readonly NodeId[];
  /** Number of live nodes in all regions. */
  readonly liveNodes: number;
  readonly nowMs: number;
}

/** Longest delay between requests on a node whose share is less than one concurrent request. */
const MAX_START_DELAY_MS = 10_000;

/** Enforces the limits of one account on this node and tracks its demand and retry budget. */
export class AccountLimiter {
  readonly retryBudget: RetryBudget;

  private readonly tokenRateMeter: RateMeter;

  private readonly tokenBucket: TokenBucket;

  private running = 0;

  private waiting = 0;

  private earliestStartMs = -Infinity;

  private constructor(
    readonly account: AccountId,
    tokensPerSecond: number,
    nowMs: number,
  ) {
    this.retryBudget = RetryBudget.create(nowMs);
    this.tokenRateMeter = RateMeter.create(nowMs);
    this.tokenBucket = TokenBucket.create(tokensPerSecond, nowMs);
  }

  static create(account: AccountId, tokensPerSecond: number, nowMs: number): AccountLimiter {
    return new AccountLimiter(account, tokensPerSecond, nowMs);
  }

  /** Returns whether the account has no running or waiting requests on this node. */
  isIdle(): boolean {
    return this.running === 0 && this.waiting === 0;
  }

  /** Records an incoming request, whether or not it is admitted. */
  recordArrival(tokens: number, nowMs: number): void {
    this.tokenRateMeter.add(tokens, nowMs);
    this.retryBudget.recordRequest();
  }

  /** Returns the numbers of running and waiting requests on this node. */
  getUsage(): { readonly running: number; readonly waiting: number } {
    const { running, waiting } = this;
    return { running, waiting };
  }

  adjustWaitingCount(delta: number): void {
    this.waiting += delta;
  }

  /** Computes the time until the account's token rate limit allows a request, in milliseconds. */
  computeRateWaitMs(tokens: number, context: AccountLimitContext): number {
    this.updateTokenRateShare(context);
    return this.tokenBucket.computeWaitMs(tokens, context.nowMs);
  }

  /** Returns whether the account may start a request now. */
  canStart(tokens: number, context: AccountLimitContext): boolean {
    const share = this.computeConcurrentShare(context);
    if (this.running >= Math.max(1, Math.floor(share))) return false;
    if (context.nowMs < this.earliestStartMs) return false;
    return this.computeRateWaitMs(tokens, context) === 0;
  }

  /** Records the start of a request and takes its tokens from the bucket. */
  recordStart(tokens: number, nowMs: number): void {
    this.tokenBucket.tryTake(tokens, nowMs);
    this.running++;
  }

  /** Records the end of a request, and delays the next one if the share is below one request. */
  recordEnd(runDurationMs: number, context: AccountLimitContext): void {
    this.running--;
    const share = this.computeConcurrentShare(context);
    if (share >= 1) return;
    // A share of 0.2 means that one request may run for a fifth of the time.
    const startDelayMs = share > 0 ? runDurationMs * (1 / share - 1) : MAX_START_DELAY_MS;
    this.earliestStartMs = context.nowMs + Math.min(MAX_START_DELAY_MS, startDelayMs);
  }

  /** Returns the account's demand if it is high enough on this node to be reported to peers. */
  getReportableDemand({ limits, liveNodes, nowMs }: AccountLimitContext): DemandRow | undefined {
    const tokensPerSecond = this.tokenRateMeter.getPerSecond(nowMs);
    const concurrent = this.running + this.waiting;
    const isReportable =
      isDemandReportable(limits.promptTokensPerSecond, liveNodes, tokensPerSecond) ||
      isDemandReportable(limits.maxConcurrent, liveNodes, concurrent);
    return isReportable ? { account: this.account, tokensPerSecond, concurrent } : undefined;
  }

  private updateTokenRateShare(context: AccountLimitContext): void {
    const { demands, limits, liveNodes, nowMs, otherMembers } = context;
    const share = computeAccountShare({
      limit: limits.promptTokensPerSecond,
      liveNodes,
      ownDemand: this.tokenRateMeter.getPerSecond(nowMs),
      peerDemands: demands.listDemands(this.account, 'tokensPerSecond', otherMembers, nowMs),
      hasRecentPeerReports: demands.hasRecentReports(otherMembers, nowMs),
    });
    this.tokenBucket.updateRate(share, nowMs);
  }

  private computeConcurrentShare(context: AccountLimitContext): number {
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
