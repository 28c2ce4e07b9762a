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
import { AccountGate, type AccountLimits, type GateContext } from './accountGate.js';
import { ServiceConcurrencyLimiter, type ServiceCapacity, type WaitingRequest } from './serviceConcurrencyLimiter.js';
import type { Admission, AdmissionRequest, AdmissionTicket, NodeComponent } from './types.js';

const TOPIC = 'admission.demand';
/** Interval of queue checks; each completed request triggers a further one. */
const TICK_MS = 100;
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
export interface AccountUse {
  readonly account: AccountId;
  readonly running: number;
  readonly waiting: number;
}

/** Admission control on one node: account limits, fair queues, load shedding, retry budgets. */
export class AdmissionController implements Admission, NodeComponent {
  private readonly accounts = new Map<AccountId, AccountGate>();

  private readonly services = new Map<ServiceId, ServiceConcurrencyLimiter>();

  private readonly demands = DemandTable.create();

  private readonly systemRetries: RetryBudget;

  private timer: NodeJS.Timeout | undefined;

  private sentMs = -Infinity;

  private heartbeatMs = -Infinity;

  private constructor(private readonly options: AdmissionControllerOptions) {
    this.systemRetries = RetryBudget.create(options.clock.nowMs());
  }

  /** Creates the controller and starts its timer. */
  static create(options: AdmissionControllerOptions): AdmissionController {
    const controller = new AdmissionController(options);
    options.mesh.registerHandler(TOPIC, demandSchema, (from, rows) => {
      controller.demands.update(from, rows, options.clock.nowMs());
    });
    controller.timer = setInterval(() => controller.runTick(), TICK_MS);
    return controller;
  }

  readonly admit: Admission['admit'] = (request) => {
    const nowMs = this.options.clock.nowMs();
    const account = this.getAccount(request.account);
    const service = this.getService(request.service);
    if (this.timer === undefined) {
      return errAsync(createNotRunError('draining', 'the node is stopping'));
    }
    if (account === undefined || service === undefined) {
      return errAsync(
        createNotRunError('overloaded', 'too many accounts or services are active', TICK_MS),
      );
    }
    const tokens = request.promptTokens + REQUEST_OVERHEAD_TOKENS;
    account.recordArrival(tokens, nowMs);
    this.systemRetries.recordRequest();
    service.updateCapacity(() => this.options.getServiceCapacity(request.service), nowMs);
    const refusal = this.getRefusal(request, account, service);
    if (refusal !== undefined) return errAsync(refusal);
    return new ResultAsync(this.runWait(request, account, service));
  };

  readonly tryTakeRetry: Admission['tryTakeRetry'] = (accountId) => {
    const account = this.getAccount(accountId);
    if (account === undefined) return false;
    return tryTakeBoth(account.retries, this.systemRetries, this.options.clock.nowMs());
  };

  /** Returns the usage of the accounts on this node, for the administration API. */
  listAccounts(): AccountUse[] {
    return [...this.accounts].map(([account, gate]) => ({ account, ...gate.getUse() }));
  }

  /** Rejects waiting requests and stops the timer. Running requests keep their tickets. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.timer = undefined;
    for (const { queue } of this.services.values()) {
      for (let item = queue.take(() => true); item; item = queue.take(() => true)) {
        item.refuse(createNotRunError('draining', 'the node is stopping'));
      }
    }
  }

  /** Updates capacities, starts waiting requests and reports demand; called by the timer. */
  runTick(): void {
    const nowMs = this.options.clock.nowMs();
    for (const [service, gate] of this.services) {
      gate.updateCapacity(() => this.options.getServiceCapacity(service), nowMs);
      this.startWaiting(gate);
    }
    this.sendDemand(nowMs);
  }

  private getRefusal(
    request: AdmissionRequest,
    account: AccountGate,
    service: ServiceConcurrencyLimiter,
  ): CallerError | undefined {
    const { deadlineMs, requestClass } = request;
    const nowMs = this.options.clock.nowMs();
    const tokens = request.promptTokens + REQUEST_OVERHEAD_TOKENS;
    const rateWaitMs = account.computeRateWaitMs(tokens, this.getContext(request.account));
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

  private async runWait(
    request: AdmissionRequest,
    account: AccountGate,
    service: ServiceConcurrencyLimiter,
  ): Promise<Result<AdmissionTicket, CallerError>> {
    const { clock } = this.options;
    const arrivedMs = clock.nowMs();
    return new Promise((resolve) => {
      const cost = request.promptTokens + REQUEST_OVERHEAD_TOKENS;
      let deadline: NodeJS.Timeout | undefined;
      const stopWaiting = (): void => {
        clearTimeout(deadline);
        account.addWaiting(-1);
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
        const isFull = service.queue.getAccountDepth(item.account, item.queueClass) > 0;
        const type = isFull ? 'account_limit' : 'overloaded';
        resolve(err(createNotRunError(type, 'the queue is full', request.deadlineMs)));
        return;
      }
      account.addWaiting(1);
      deadline = setTimeout(() => {
        if (!service.queue.remove(item)) return;
        item.refuse(
          createNotRunError(
            'deadline_exceeded',
            'the request exceeded its deadline while it was queued',
          ),
        );
      }, request.deadlineMs);
      this.startWaiting(service);
    });
  }

  private createTicket(
    { account: accountId }: AdmissionRequest,
    account: AccountGate,
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
        account.recordEnd(nowMs - startedMs, this.getContext(accountId));
        service.recordEnd(nowMs);
        this.startWaiting(service);
      },
    };
  }

  private startWaiting(service: ServiceConcurrencyLimiter): void {
    while (service.hasFreeSlot() && service.queue.size > 0) {
      const item = service.queue.take(
        ({ account, cost }) =>
          this.accounts.get(account)?.canStart(cost, this.getContext(account)) ?? false,
      );
      if (item === undefined) return;
      item.start();
    }
  }

  private sendDemand(nowMs: number): void {
    const others = this.listOthers();
    const nodes = others.length + 1;
    if (nowMs - this.sentMs < computeDemandIntervalMs(nodes)) return;
    this.sentMs = nowMs;
    const rows: DemandRow[] = [];
    for (const [account, gate] of this.accounts) {
      const row = gate.getPressedDemand(this.getContext(account));
      if (row !== undefined) rows.push(row);
    }
    if (rows.length === 0 && nowMs - this.heartbeatMs < DEMAND_HEARTBEAT_MS) return;
    this.heartbeatMs = nowMs;
    rows.sort((a, b) => b.tokensPerSecond - a.tokensPerSecond);
    const sent = rows.slice(0, computeMaxDemandRows(nodes));
    for (const member of others) this.options.mesh.send(member, TOPIC, sent);
  }

  private listOthers(): NodeId[] {
    const { listRegionMembers, mesh } = this.options;
    return listRegionMembers().filter((member) => member !== mesh.self);
  }

  private getContext(account: AccountId): GateContext {
    const { clock, countLiveNodes, getAccountLimits } = this.options;
    return {
      limits: getAccountLimits(account),
      demands: this.demands,
      otherMembers: this.listOthers(),
      liveNodes: countLiveNodes(),
      nowMs: clock.nowMs(),
    };
  }

  private getAccount(account: AccountId): AccountGate | undefined {
    const known = this.accounts.get(account);
    if (known !== undefined) return known;
    if (this.accounts.size >= MAX_ACCOUNTS && !this.removeIdleAccount()) return undefined;
    const { clock, countLiveNodes, getAccountLimits } = this.options;
    const share = getAccountLimits(account).promptTokensPerSecond / Math.max(1, countLiveNodes());
    const created = AccountGate.create(account, share, clock.nowMs());
    this.accounts.set(account, created);
    return created;
  }

  private removeIdleAccount(): boolean {
    for (const [account, gate] of this.accounts) {
      if (gate.isIdle()) return this.accounts.delete(account);
    }
    return false;
  }

  private getService(service: ServiceId): ServiceConcurrencyLimiter | undefined {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    if (this.services.size >= MAX_SERVICES) return undefined;
    const created = ServiceConcurrencyLimiter.create(this.options.clock.nowMs());
    this.services.set(service, created);
    return created;
  }
}
