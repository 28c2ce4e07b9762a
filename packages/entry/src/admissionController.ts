import {
  computeDemandIntervalMs,
  computeMaxDemandRows,
  estimateQueueWaitMs,
  DEMAND_HEARTBEAT_MS,
  DemandTable,
  decideLoadShedding,
  MAX_ACCOUNTS,
  MAX_DEMAND_ROWS,
  REQUEST_OVERHEAD_TOKENS,
  RetryBudget,
  tryTakeBoth,
  type DemandRow,
} from '@lovagearch/admission';
import {
  createNotRunError,
  toId,
  type AccountId,
  type CallerError,
  type Clock,
  type NodeId,
  type ServiceId,
} from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import { errAsync, ResultAsync, type Result, ok, err } from 'neverthrow';
import { z } from 'zod';
import { AccountLimiter, type AccountLimits, type AccountLimitContext } from './accountLimiter.js';
import {
  ServiceConcurrencyLimiter,
  type ServiceCapacity,
  type WaitingRequest,
} from './serviceConcurrencyLimiter.js';
import type { Admission, AdmissionRequest, AdmissionTicket, NodeComponent } from './types.js';

const DEMAND_TOPIC = 'admission.demand';
/** Interval of queue checks; each completed request triggers a further one. */
const TICK_INTERVAL_MS = 100;
/** Maximum number of services with a queue on this node. */
const MAX_SERVICES = 256;

const demandSchema = z
  .array(
    z.object({
      account: z
        .string()
        .max(200)
        .transform((value) => toId<AccountId>(value)),
      tokensPerSecond: z.number().nonnegative().finite(),
      concurrent: z.number().nonnegative().finite(),
    }),
  )
  .max(MAX_DEMAND_ROWS);

export interface AdmissionControllerOptions {
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly getAccountLimits: (account: AccountId) => AccountLimits;
  readonly getServiceCapacity: (service: ServiceId) => ServiceCapacity;
  /** Live members of this node's region; may include this node. */
  readonly listRegionMembers: () => readonly NodeId[];
  /** Returns the number of live nodes in all regions, including this one. */
  readonly countLiveNodes: () => number;
}

/** Numbers of running and waiting requests of an account on this node. */
export interface AccountUsage {
  readonly account: AccountId;
  readonly running: number;
  readonly waiting: number;
}

/** Admission control on one node: account limits, fair queues, load shedding, retry budgets. */
export class AdmissionController implements Admission, NodeComponent {
  private readonly accountLimiters = new Map<AccountId, AccountLimiter>();

  private readonly serviceLimiters = new Map<ServiceId, ServiceConcurrencyLimiter>();

  private readonly demands = DemandTable.create();

  private readonly nodeRetryBudget: RetryBudget;

  private tickTimer: NodeJS.Timeout | undefined;

  private lastReportCheckMs = -Infinity;

  private lastReportMs = -Infinity;

  private constructor(private readonly options: AdmissionControllerOptions) {
    this.nodeRetryBudget = RetryBudget.create(options.clock.nowMs());
  }

  /** Creates the controller and starts its timer. */
  static create(options: AdmissionControllerOptions): AdmissionController {
    const controller = new AdmissionController(options);
    options.mesh.registerHandler(DEMAND_TOPIC, demandSchema, (from, rows) => {
      controller.demands.update(from, rows, options.clock.nowMs());
    });
    controller.tickTimer = setInterval(() => controller.runTick(), TICK_INTERVAL_MS);
    return controller;
  }

  readonly admit: Admission['admit'] = (request) => {
    const nowMs = this.options.clock.nowMs();
    const account = this.getOrCreateAccountLimiter(request.account);
    const service = this.getOrCreateServiceLimiter(request.service);
    if (this.tickTimer === undefined) {
      return errAsync(createNotRunError('draining', 'the node is stopping'));
    }
    if (account === undefined || service === undefined) {
      return errAsync(
        createNotRunError(
          'overloaded',
          'too many accounts or services are active',
          TICK_INTERVAL_MS,
        ),
      );
    }
    const tokens = request.promptTokens + REQUEST_OVERHEAD_TOKENS;
    account.recordArrival(tokens, nowMs);
    this.nodeRetryBudget.recordRequest();
    service.updateCapacity(() => this.options.getServiceCapacity(request.service), nowMs);
    const refusal = this.findRefusal(request, account, service);
    if (refusal !== undefined) return errAsync(refusal);
    return new ResultAsync(this.waitForStart(request, account, service));
  };

  readonly tryTakeRetry: Admission['tryTakeRetry'] = (accountId) => {
    const account = this.getOrCreateAccountLimiter(accountId);
    if (account === undefined) return false;
    return tryTakeBoth(account.retryBudget, this.nodeRetryBudget, this.options.clock.nowMs());
  };

  /** Returns the usage of the accounts on this node, for the administration API. */
  listAccountUsage(): AccountUsage[] {
    return [...this.accountLimiters].map(([account, accountLimiter]) => ({
      account,
      ...accountLimiter.getUsage(),
    }));
  }

  /** Rejects waiting requests and stops the timer. Running requests keep their tickets. */
  async stop(): Promise<void> {
    clearInterval(this.tickTimer);
    this.tickTimer = undefined;
    for (const { queue } of this.serviceLimiters.values()) {
      for (let item = queue.take(() => true); item; item = queue.take(() => true)) {
        item.refuse(createNotRunError('draining', 'the node is stopping'));
      }
    }
  }

  /** Updates capacities, starts waiting requests and reports demand; called by the timer. */
  runTick(): void {
    const nowMs = this.options.clock.nowMs();
    for (const [service, serviceLimiter] of this.serviceLimiters) {
      serviceLimiter.updateCapacity(() => this.options.getServiceCapacity(service), nowMs);
      this.startQueuedRequests(serviceLimiter);
    }
    this.reportDemand(nowMs);
  }

  private findRefusal(
    request: AdmissionRequest,
    account: AccountLimiter,
    service: ServiceConcurrencyLimiter,
  ): CallerError | undefined {
    const { deadlineMs, requestClass } = request;
    const nowMs = this.options.clock.nowMs();
    const tokens = request.promptTokens + REQUEST_OVERHEAD_TOKENS;
    const rateWaitMs = account.computeRateWaitMs(tokens, this.createLimitContext(request.account));
    if (rateWaitMs > deadlineMs) {
      const message = 'the account exceeds its token rate limit';
      return createNotRunError('account_limit', message, Math.ceil(rateWaitMs));
    }
    const { queue } = service;
    const waitMs = estimateQueueWaitMs({
      queueClass: requestClass,
      depths: queue.getDepths(),
      accountDepth: queue.getAccountDepth(request.account, requestClass),
      accountCount: queue.getAccountCount(requestClass),
      completionsPerSecond: service.getCompletionsPerSecond(nowMs),
      endpointQueueMs: service.getQueueMs(),
    });
    const decision = decideLoadShedding(requestClass, waitMs, deadlineMs);
    if (decision.type === 'accept') return undefined;
    const message = `requests of class ${requestClass} would miss their deadline`;
    return createNotRunError('overloaded', message, decision.retryAfterMs);
  }

  private async waitForStart(
    request: AdmissionRequest,
    account: AccountLimiter,
    service: ServiceConcurrencyLimiter,
  ): Promise<Result<AdmissionTicket, CallerError>> {
    const { clock } = this.options;
    const arrivedMs = clock.nowMs();
    return new Promise((resolve) => {
      const cost = request.promptTokens + REQUEST_OVERHEAD_TOKENS;
      let deadline: NodeJS.Timeout | undefined;
      const stopWaiting = (): void => {
        clearTimeout(deadline);
        account.adjustWaitingCount(-1);
      };
      const item: WaitingRequest = {
        id: request.requestId,
        account: request.account,
        queueClass: request.requestClass,
        cost,
        start: () => {
          stopWaiting();
          account.recordStart(cost, clock.nowMs());
          service.recordStart();
          resolve(ok(this.createTicket(request, account, service, arrivedMs)));
        },
        refuse: (error) => {
          stopWaiting();
          resolve(err(error));
        },
      };
      if (!service.queue.add(item)) {
        const hasQueuedRequests = service.queue.getAccountDepth(item.account, item.queueClass) > 0;
        const type = hasQueuedRequests ? 'account_limit' : 'overloaded';
        resolve(err(createNotRunError(type, 'the queue is full', request.deadlineMs)));
        return;
      }
      account.adjustWaitingCount(1);
      deadline = setTimeout(() => {
        if (!service.queue.remove(item)) return;
        item.refuse(
          createNotRunError(
            'deadline_exceeded',
            'the request exceeded its deadline while it was queued',
          ),
        );
      }, request.deadlineMs);
      this.startQueuedRequests(service);
    });
  }

  private createTicket(
    { account: accountId }: AdmissionRequest,
    account: AccountLimiter,
    service: ServiceConcurrencyLimiter,
    arrivedMs: number,
  ): AdmissionTicket {
    const { clock } = this.options;
    const startedMs = clock.nowMs();
    let isReleased = false;
    return {
      queuedMs: startedMs - arrivedMs,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        const nowMs = clock.nowMs();
        account.recordEnd(nowMs - startedMs, this.createLimitContext(accountId));
        service.recordEnd(nowMs);
        this.startQueuedRequests(service);
      },
    };
  }

  private startQueuedRequests(service: ServiceConcurrencyLimiter): void {
    while (service.hasFreeSlot() && service.queue.size > 0) {
      const item = service.queue.take(
        ({ account, cost }) =>
          this.accountLimiters.get(account)?.canStart(cost, this.createLimitContext(account)) ??
          false,
      );
      if (item === undefined) return;
      item.start();
    }
  }

  private reportDemand(nowMs: number): void {
    const others = this.listOtherMembers();
    const nodeCount = others.length + 1;
    if (nowMs - this.lastReportCheckMs < computeDemandIntervalMs(nodeCount)) return;
    this.lastReportCheckMs = nowMs;
    const rows: DemandRow[] = [];
    for (const [account, limiter] of this.accountLimiters) {
      const row = limiter.getReportableDemand(this.createLimitContext(account));
      if (row !== undefined) rows.push(row);
    }
    if (rows.length === 0 && nowMs - this.lastReportMs < DEMAND_HEARTBEAT_MS) return;
    this.lastReportMs = nowMs;
    rows.sort((a, b) => b.tokensPerSecond - a.tokensPerSecond);
    const sent = rows.slice(0, computeMaxDemandRows(nodeCount));
    for (const member of others) this.options.mesh.send(member, DEMAND_TOPIC, sent);
  }

  private listOtherMembers(): NodeId[] {
    const { listRegionMembers, mesh } = this.options;
    return listRegionMembers().filter((member) => member !== mesh.self);
  }

  private createLimitContext(account: AccountId): AccountLimitContext {
    const { clock, countLiveNodes, getAccountLimits } = this.options;
    return {
      limits: getAccountLimits(account),
      demands: this.demands,
      otherMembers: this.listOtherMembers(),
      liveNodes: countLiveNodes(),
      nowMs: clock.nowMs(),
    };
  }

  private getOrCreateAccountLimiter(account: AccountId): AccountLimiter | undefined {
    const known = this.accountLimiters.get(account);
    if (known !== undefined) return known;
    if (this.accountLimiters.size >= MAX_ACCOUNTS && !this.removeIdleAccountLimiter())
      return undefined;
    const { clock, countLiveNodes, getAccountLimits } = this.options;
    const share = getAccountLimits(account).promptTokensPerSecond / Math.max(1, countLiveNodes());
    const created = AccountLimiter.create(account, share, clock.nowMs());
    this.accountLimiters.set(account, created);
    return created;
  }

  private removeIdleAccountLimiter(): boolean {
    for (const [account, candidate] of this.accountLimiters) {
      if (candidate.isIdle()) return this.accountLimiters.delete(account);
    }
    return false;
  }

  private getOrCreateServiceLimiter(service: ServiceId): ServiceConcurrencyLimiter | undefined {
    const known = this.serviceLimiters.get(service);
    if (known !== undefined) return known;
    if (this.serviceLimiters.size >= MAX_SERVICES) return undefined;
    const created = ServiceConcurrencyLimiter.create(this.options.clock.nowMs());
    this.serviceLimiters.set(service, created);
    return created;
  }
}
