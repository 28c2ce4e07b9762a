import type { MoveOption } from '@lovagearch/endpoints';
import {
  type AttemptResult,
  decideNextStep,
  EventStreamFramer,
  type NextStep,
} from '@lovagearch/exchange';
import { isRetryable } from '@lovagearch/traffic';
import type { Attempt, AttemptOutcome } from './attempt.js';
import { recordBrittleSend } from './brittleness/brittleEndpoints.js';
import {
  recordAnswer,
  recordBrokenAttempt,
  recordInterruption,
  recordTransferTime,
  recordWeightMismatch,
} from './attemptFeedback.js';
import type { CallerResponse } from './callerResponse.js';
import { recordStreamOrigin } from './continuedStreams.js';
import { type RoutedRequest, createAttempt } from './createAttempt.js';
import { recordSend } from './endpointRates.js';
import type { GatewayContext } from './gatewayContext.js';
import { type ChosenEndpoint, type PlacementResult, placeRequest } from './placeRequest.js';
import { logAttemptFailed, logPlacement } from './requestLog.js';
import { createCacheSalt, planReuse } from './reusePlan.js';
import { isKeptByLostLinks } from './relay/lostLinks.js';
import { type Send, SendRace } from './sendRace.js';
import { listSharedPartIds } from './sharedParts.js';

/** What becomes of a request after an attempt. */
export type AttemptConclusion =
  | { readonly type: 'retry'; readonly chosen: ChosenEndpoint }
  /** The response was passed on to the caller. */
  | { readonly type: 'served'; readonly status: number }
  /** The attempt was stopped for the caller or the time limit. */
  | { readonly type: 'stopped' }
  /** There is no complete response, and there will be no further attempt. */
  | {
      readonly type: 'ended';
      readonly reason: string;
      /** Whether the request could go on if this node reached the other endpoints. */
      readonly hasLostLinks: boolean;
    };

/** What the attempts need to know of their request and its caller. */
export interface AttemptsInput {
  readonly routedRequest: RoutedRequest;
  readonly callerResponse: CallerResponse;
  /** Software version at which the request has to go on; undefined if it may begin at any. */
  readonly softwareVersion: string | undefined;
  /** Number of times that the request may have run before it reached this node through a peer. */
  readonly earlierRuns: number;
  /** Number of endpoints that received it before. */
  readonly earlierSends: number;
  /** Time from the arrival of the request to the end of its time limit, in milliseconds. */
  readonly timeLimitMs: number;
  /** Returns the time since the arrival of the request, in milliseconds. */
  readonly getElapsedMs: () => number;
  /** Called with the first byte of each attempt. */
  readonly onFirstByte: () => void;
}

/**
 * The attempts of one request: where it was sent, how often it may have run, and what to do after each attempt.
 *
 * @example
 * const attempts = RequestAttempts.create(context, input);
 * const chosen = attempts.chooseEndpoint();
 * if (chosen !== undefined) await attempts.run(chosen, remainingMs);
 */
export class RequestAttempts {
  /** Events that were passed on; undefined for requests that are not streaming. */
  framer: EventStreamFramer | undefined;

  readonly triedEndpointIds: string[] = [];

  /** Number of attempts. */
  sendCount = 0;

  /** Number of attempts that may have run the request, at this node or before. */
  possibleRunCount: number;

  /** Number of attempts in which an endpoint received a part of the request. */
  receivedCount = 0;

  lastPlacement: PlacementResult | undefined;

  /** Number of attempts that were withdrawn before their first event. */
  private withdrawalCount = 0;

  /** Endpoints that the request left before they answered; they may still serve it. */
  private readonly leftEndpointIds = new Set<string>();

  /** What showed the end of the endpoint's response, if one was passed on. */
  responseEnd: 'connection' | 'framing' | undefined;

  /** The sends in progress, or else the last ones. */
  private sends: readonly Send[] = [];

  /** Number of sends that have not ended. */
  private inProgressCount = 0;

  private race: SendRace | undefined;

  /** Version of the endpoint that began the stream, once an event was passed on. */
  private softwareVersion: string | undefined;

  private isStopped = false;

  private readonly excludedEndpointIds = new Set<string>();

  private constructor(
    private readonly context: GatewayContext,
    private readonly input: AttemptsInput,
  ) {
    this.framer = this.createFramer();
    this.softwareVersion = input.softwareVersion;
    this.possibleRunCount = input.earlierRuns;
  }

  static create(context: GatewayContext, input: AttemptsInput): RequestAttempts {
    return new RequestAttempts(context, input);
  }

  private readonly attempts: Attempt[] = [];

  /** Time limits that endpoints were told, in milliseconds and in the order of the sends. */
  get handedMs(): number[] {
    return this.attempts.flatMap(({ handedMs = [] }) => handedMs);
  }

  /** Bytes of the last sends that were not sent when they ended. */
  get unsentBytesAtEnd(): number {
    return this.sends.reduce((sum, { attempt }) => sum + (attempt.unsentBytesAtEnd ?? 0), 0);
  }

  /** Whether an endpoint may have received a part of the last attempt. */
  get wasSent(): boolean {
    return this.sends.some(({ attempt }) => attempt.wasSent);
  }

  /** Places the request on an endpoint that it was not sent to before, or else on one that it left. */
  chooseEndpoint(): ChosenEndpoint | undefined {
    let result = this.placeRequest();
    if (result.type === 'none' && this.leftEndpointIds.size > 0) {
      const excluded = [...this.excludedEndpointIds].filter((id) => !this.leftEndpointIds.has(id));
      result = this.placeRequest(new Set(excluded));
    }
    this.lastPlacement = result;
    return result.type === 'placed' ? result.chosen : undefined;
  }

  /** Sends the request to an endpoint, to a second one if that is late, and decides what to do afterwards. */
  async run(chosen: ChosenEndpoint, remainingMs: number): Promise<AttemptConclusion> {
    const first = this.startSend(chosen, remainingMs, this.framer);
    this.sends = [first];
    this.race = this.createRace(first);
    if (this.race === undefined) return this.handleOutcome(first, await first.outcome);
    const decisive = await this.race.run();
    return this.handleOutcome(decisive.send, decisive.outcome);
  }

  /** Cancels the attempts in progress. */
  stop(): void {
    this.isStopped = true;
    for (const { attempt } of this.sends) attempt.stop();
  }

  private placeRequest(excluded: ReadonlySet<string> = this.excludedEndpointIds): PlacementResult {
    const { softwareVersion } = this;
    const { head, route, service, account } = this.input.routedRequest;
    return placeRequest(this.context, head, route, service, account, { excluded, softwareVersion });
  }

  private createFramer(): EventStreamFramer | undefined {
    const { context } = this;
    const { head, route, service } = this.input.routedRequest;
    if (route.kind !== 'streaming') return undefined;
    const { memory } = context.responseLimits;
    return EventStreamFramer.create(head.lastEventId, memory, context.getEventIdHistory(service));
  }

  /** Returns the race in which the first send of a request may get a second one beside it. */
  private createRace(first: Send): SendRace | undefined {
    const { context } = this;
    const { hedging } = context;
    const { routedRequest, callerResponse, getElapsedMs, timeLimitMs } = this.input;
    const { route, service } = routedRequest;
    if (hedging?.isEnabled(service) !== true || this.sendCount > 1) return undefined;
    hedging.recordRequest(service, first.sentAtMs);
    if (!isRetryable(route) || route.maxAttempts < 2) return undefined;
    return SendRace.create(context, {
      routedRequest,
      hedging,
      first,
      getRemainingMs: () => timeLimitMs - getElapsedMs(),
      hasResponseStarted: () => callerResponse.hasStarted,
      isStopped: () => this.isStopped,
      getSendCount: () => this.sendCount + this.input.earlierSends,
      findAlternative: () => {
        const result = this.placeRequest();
        return result.type === 'placed' ? result.chosen : undefined;
      },
      send: (chosen, remainingMs) => {
        // Incomplete events of two endpoints must not be joined.
        const hedge = this.startSend(chosen, remainingMs, this.createFramer(), true);
        this.sends = [first, hedge];
        return hedge;
      },
    });
  }

  private startSend(
    chosen: ChosenEndpoint,
    remainingMs: number,
    framer: EventStreamFramer | undefined,
    isHedge = false,
  ): Send {
    const { context } = this;
    const { routedRequest, callerResponse, onFirstByte } = this.input;
    const { head, route, account, service } = routedRequest;
    const { endpoint, placement } = chosen;
    const reusePlan = planReuse(context, head, account, chosen);
    this.sendCount += 1;
    recordSend(context, endpoint);
    recordBrittleSend(context, endpoint, head.requestId);
    this.excludedEndpointIds.add(endpoint.record.id);
    const isRepeat = this.triedEndpointIds.includes(endpoint.record.id);
    this.triedEndpointIds.push(endpoint.record.id);
    if (this.sendCount === 1) logPlacement(context, routedRequest, chosen, reusePlan);
    const sentAtMs = context.clock.nowMs();
    context.metrics.recordLoadAge(service, endpoint.getLoadAgeMs(sentAtMs));
    // The parts of a hedge that loses are not computed at its endpoint, and the next requests shall not follow it.
    if (!isHedge) this.recordPrompt(chosen);
    const attempt = createAttempt(context, routedRequest, chosen, {
      reusePlan,
      framer,
      remainingMs,
      isRepeat,
      callerResponse,
      findMove: () => this.findMove(),
      mayRunAgain: () =>
        isRetryable(route) &&
        this.possibleRunCount + 1 < route.maxAttempts &&
        context
          .getRetryBudget(service)
          .hasRetry(context.clusterState.nodeCount, context.clock.nowMs()),
      onFirstByte: (firstByteDelayMs) => {
        onFirstByte();
        recordTransferTime(context, head, placement, reusePlan, firstByteDelayMs);
      },
      onResponseStart: () => {
        this.framer = framer;
        if (framer !== undefined) {
          this.softwareVersion = chosen.softwareVersion;
          recordStreamOrigin(context, routedRequest, chosen.softwareVersion);
        }
        if (isHedge) this.recordPrompt(chosen);
        this.race?.claimResponse(attempt);
      },
    });
    this.attempts.push(attempt);
    return { chosen, attempt, framer, sentAtMs, outcome: this.runAttempt(chosen, attempt) };
  }

  /** Records that the endpoint gets the parts of the prompt, for the placement of later requests. */
  private recordPrompt({ endpoint, placement, regionRule }: ChosenEndpoint): void {
    const { clusterState, clock } = this.context;
    const { head, account } = this.input.routedRequest;
    clusterState.promptMemory.recordSent(
      head.promptParts,
      createCacheSalt(account, undefined, regionRule) ?? '',
      endpoint.record.id,
      placement.uncachedTokens,
      clock.nowMs(),
    );
  }

  private async runAttempt(chosen: ChosenEndpoint, attempt: Attempt): Promise<AttemptOutcome> {
    const { context } = this;
    const { head, service } = this.input.routedRequest;
    const stopTracking =
      head.model === undefined
        ? undefined
        : context.waitingAttempts.add({
            attempt,
            model: head.model,
            weightVersion: chosen.endpoint.record.weights.get(head.model) ?? 0,
          });
    this.inProgressCount += 1;
    const stopWatching = context.links.watchAttempt(chosen.endpoint, attempt);
    const outcome = await attempt.run();
    this.inProgressCount -= 1;
    stopWatching();
    stopTracking?.();
    // The other send of a hedged request may depend on it.
    this.recordOutcome(chosen, outcome);
    context.metrics.recordAttempt(service, outcome.type);
    this.recordFeedback(chosen, attempt, outcome);
    return outcome;
  }

  /** Records what an attempt shows about its request and endpoint, for the containment of crashes. */
  private recordFeedback(chosen: ChosenEndpoint, attempt: Attempt, outcome: AttemptOutcome): void {
    const { context } = this;
    const { routedRequest } = this.input;
    if (outcome.type === 'broken' && (outcome.isConnectionLost || !attempt.hasOutput))
      recordBrokenAttempt(context, routedRequest, chosen, attempt.hasOutput);
    if (outcome.type === 'passed_on' || outcome.type === 'answered') {
      recordAnswer(context, routedRequest, chosen);
      this.responseEnd = outcome.hasExplicitEnd ? 'framing' : 'connection';
      context.metrics.recordResponseEnd(routedRequest.service, this.responseEnd);
    }
    if (outcome.type === 'broken' && outcome.isConnectionLost) {
      const outputAgeMs = attempt.getOutputAgeMs(context.clock.nowMs());
      recordInterruption(context, routedRequest, chosen, outputAgeMs);
    }
  }

  /** Counts a possible run, and notes other weights than expected. */
  private recordOutcome(chosen: ChosenEndpoint, outcome: AttemptOutcome): void {
    if (outcome.type === 'stopped') {
      if (outcome.wasSent) this.possibleRunCount += 1;
      return;
    }
    if (outcome.type !== 'not_run' || outcome.wasReceived) this.receivedCount += 1;
    if (outcome.type !== 'not_run') {
      this.possibleRunCount += 1;
      return;
    }
    if (outcome.weightMismatch === undefined) return;
    const { head } = this.input.routedRequest;
    // The endpoint would accept the request with the correct weight version.
    if (recordWeightMismatch(this.context, head, chosen, outcome.weightMismatch.version))
      this.excludedEndpointIds.delete(chosen.endpoint.record.id);
  }

  private handleOutcome({ chosen, attempt }: Send, outcome: AttemptOutcome): AttemptConclusion {
    const { context } = this;
    const { routedRequest, callerResponse, getElapsedMs } = this.input;
    const { head, route, service } = routedRequest;
    if (outcome.type === 'passed_on') {
      if (outcome.hasExplicitEnd) this.recordPartCompletion();
      return { type: 'served', status: 200 };
    }
    if (outcome.type === 'stopped') return { type: 'stopped' };
    if (outcome.type === 'stalled') {
      this.leftEndpointIds.add(chosen.endpoint.record.id);
      if (!attempt.hasOutput) this.withdrawalCount += 1;
    }
    const result: AttemptResult =
      outcome.type === 'answered'
        ? { type: 'answered', isFailure: outcome.head.status >= 500 }
        : outcome;
    const next = this.chooseEndpoint();
    const budget = context.getRetryBudget(service);
    const nowMs = context.clock.nowMs();
    const step = this.decideStep(result, next, this.possibleRunCount);
    if (outcome.type !== 'answered' || step.type !== 'deliver') {
      logAttemptFailed(context, head, chosen, outcome, step, {
        sends: this.sendCount,
        runs: this.possibleRunCount,
        elapsedMs: getElapsedMs(),
        hasOutput: attempt.hasOutput,
        lastEventId: this.framer?.lastEventId,
      });
    }
    switch (step.type) {
      case 'deliver':
        if (outcome.type !== 'answered') return this.createEnd(outcome.type, false);
        callerResponse.sendEndpointResponse(outcome.head, outcome.body);
        if (outcome.head.status < 300 && outcome.hasExplicitEnd) this.recordPartCompletion();
        return { type: 'served', status: outcome.head.status };
      case 'retry':
        if (next === undefined) return this.createEnd(step.reason, false);
        // Sending a request that the endpoint did not receive again costs no retry budget.
        if (outcome.type !== 'not_run' || outcome.wasReceived)
          budget.tryTake(context.clusterState.nodeCount, nowMs);
        return { type: 'retry', chosen: next };
      case 'refuse':
      case 'fail':
        return this.createEnd(step.reason, outcome.type === 'not_run' || isRetryable(route));
      default:
        return step satisfies never;
    }
  }

  /** @param mayGoOn whether the request may be sent again after the last outcome */
  private createEnd(reason: string, mayGoOn: boolean): AttemptConclusion {
    const { service } = this.input.routedRequest;
    const hasLostLinks = mayGoOn && isKeptByLostLinks(this.context, service, this.lastPlacement);
    return { type: 'ended', reason, hasLostLinks };
  }

  private decideStep(
    result: AttemptResult,
    next: ChosenEndpoint | undefined,
    possibleRuns: number,
  ): NextStep {
    const { clock, clusterState, getRetryBudget } = this.context;
    const { routedRequest, callerResponse, getElapsedMs, timeLimitMs } = this.input;
    const { route, service } = routedRequest;
    return decideNextStep({
      result,
      isRetryable: isRetryable(route),
      possibleRuns,
      sends: this.sendCount + this.input.earlierSends,
      maxPossibleRuns: route.maxAttempts,
      remainingMs: timeLimitMs - getElapsedMs(),
      expectedMs: next?.placement.expectedMs ?? 0,
      hasAlternative: next !== undefined,
      hasRetryBudget: getRetryBudget(service).hasRetry(clusterState.nodeCount, clock.nowMs()),
      hasResponseStarted: callerResponse.hasStarted,
    });
  }

  /** Returns whether the attempt in progress could be withdrawn and the request sent to another endpoint. */
  private findMove(): MoveOption {
    const { hasStarted } = this.input.callerResponse;
    // A stream that was moved once has lost its place in two queues already.
    if (this.framer !== undefined && this.withdrawalCount > 0 && !hasStarted)
      return { type: 'blocked', reason: 'withdrawn before' };
    // The other send takes the place of a move, as long as it may still be answered.
    if (this.inProgressCount > 1) return { type: 'blocked', reason: 'hedged' };
    if (hasStarted && this.framer === undefined)
      return { type: 'blocked', reason: 'a response without events has begun' };
    const next = this.chooseEndpoint();
    if (hasStarted && next?.endpoint.isSuspended(this.context.clock.nowMs()) === true)
      return { type: 'blocked', reason: 'other endpoints are suspended' };
    const step = this.decideStep({ type: 'stalled' }, next, this.possibleRunCount + 1);
    return step.type === 'retry' && next !== undefined
      ? { type: 'possible', expectedMs: next.placement.expectedMs }
      : { type: 'blocked', reason: step.type === 'deliver' ? 'answered' : step.reason };
  }

  private recordPartCompletion(): void {
    const { head } = this.input.routedRequest;
    this.context.promptPartContainment.recordCompletion(listSharedPartIds(head));
  }
}
