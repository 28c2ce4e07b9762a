import { type AttemptResult, decideNextStep, EventStreamFramer } from '@lovagearch/exchange';
import { isRetryable } from '@lovagearch/traffic';
import type { Attempt, AttemptOutcome } from './attempt.js';
import {
  recordAnswer,
  recordBrokenAttempt,
  recordInterruption,
  recordTransferTime,
  recordWeightMismatch,
} from './attemptFeedback.js';
import type { CallerResponse } from './callerResponse.js';
import { type RoutedRequest, createAttempt } from './createAttempt.js';
import { recordSend } from './endpointRates.js';
import type { GatewayContext } from './gatewayContext.js';
import { type ChosenEndpoint, type PlacementResult, placeRequest } from './placeRequest.js';
import { logAttemptFailed, logPlacement } from './requestLog.js';
import { createCacheSalt, planReuse } from './reusePlan.js';
import { listSharedPartIds } from './sharedParts.js';

/** What becomes of a request after an attempt. */
export type AttemptConclusion =
  | { readonly type: 'retry'; readonly chosen: ChosenEndpoint }
  /** The response was passed on to the caller. */
  | { readonly type: 'served'; readonly status: number }
  /** The attempt was stopped for the caller or the time limit. */
  | { readonly type: 'stopped' }
  /** There is no complete response, and there will be no further attempt. */
  | { readonly type: 'ended'; readonly reason: string };

/** What the attempts need to know of their request and its caller. */
export interface AttemptsInput {
  readonly routedRequest: RoutedRequest;
  readonly callerResponse: CallerResponse;
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
  /** Undefined for requests that are not streaming. */
  readonly framer: EventStreamFramer | undefined;

  readonly triedEndpointIds: string[] = [];

  /** Number of attempts. */
  sendCount = 0;

  /** Number of attempts that may have run the request. */
  possibleRunCount = 0;

  lastPlacement: PlacementResult | undefined;

  /** What showed the end of the endpoint's response, if one was passed on. */
  responseEnd: 'connection' | 'framing' | undefined;

  private attempt: Attempt | undefined;

  private readonly excludedEndpointIds = new Set<string>();

  private constructor(
    private readonly context: GatewayContext,
    private readonly input: AttemptsInput,
  ) {
    const { head, route, service } = input.routedRequest;
    this.framer =
      route.kind === 'streaming'
        ? EventStreamFramer.create(
            head.lastEventId,
            context.responseLimits.memory,
            context.getEventIdHistory(service),
          )
        : undefined;
  }

  static create(context: GatewayContext, input: AttemptsInput): RequestAttempts {
    return new RequestAttempts(context, input);
  }

  /** Whether an endpoint may have received a part of the last attempt. */
  get wasSent(): boolean {
    return this.attempt?.wasSent ?? false;
  }

  /** Places the request on an endpoint that it was not sent to before. */
  chooseEndpoint(): ChosenEndpoint | undefined {
    const { head, route, service, account } = this.input.routedRequest;
    const { context, excludedEndpointIds } = this;
    const result = placeRequest(context, head, route, service, account, excludedEndpointIds);
    this.lastPlacement = result;
    return result.type === 'placed' ? result.chosen : undefined;
  }

  /** Sends the request to an endpoint and decides what to do after the attempt. */
  async run(chosen: ChosenEndpoint, remainingMs: number): Promise<AttemptConclusion> {
    const outcome = await this.runAttempt(chosen, remainingMs);
    return this.handleOutcome(chosen, outcome);
  }

  /** Cancels the attempt in progress. */
  stop(): void {
    this.attempt?.stop();
  }

  private async runAttempt(chosen: ChosenEndpoint, remainingMs: number): Promise<AttemptOutcome> {
    const { context } = this;
    const { routedRequest, callerResponse, onFirstByte } = this.input;
    const { head, service, account } = routedRequest;
    const { endpoint, placement } = chosen;
    const reusePlan = planReuse(context, head, account, endpoint, placement);
    this.sendCount += 1;
    recordSend(context, endpoint);
    this.excludedEndpointIds.add(endpoint.record.id);
    const isRepeat = this.triedEndpointIds.includes(endpoint.record.id);
    this.triedEndpointIds.push(endpoint.record.id);
    if (this.sendCount === 1) logPlacement(context, routedRequest, chosen, reusePlan);
    context.clusterState.promptMemory.recordSent(
      head.promptParts,
      createCacheSalt(account, undefined) ?? '',
      endpoint.record.id,
      placement.uncachedTokens,
      context.clock.nowMs(),
    );
    const attempt = createAttempt(context, routedRequest, chosen, {
      reusePlan,
      framer: this.framer,
      remainingMs,
      isRepeat,
      callerResponse,
      onFirstByte: (firstByteDelayMs) => {
        onFirstByte();
        recordTransferTime(context, head, placement, reusePlan, firstByteDelayMs);
      },
    });
    this.attempt = attempt;
    const stopTracking =
      head.model === undefined
        ? undefined
        : context.waitingAttempts.add({
            attempt,
            model: head.model,
            weightVersion: endpoint.record.weights.get(head.model) ?? 0,
          });
    const outcome = await attempt.run();
    stopTracking?.();
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

  private handleOutcome(chosen: ChosenEndpoint, outcome: AttemptOutcome): AttemptConclusion {
    const { context } = this;
    const { routedRequest, callerResponse, getElapsedMs, timeLimitMs } = this.input;
    const { head, route, service } = routedRequest;
    if (outcome.type === 'passed_on') {
      if (outcome.hasExplicitEnd) this.recordPartCompletion();
      return { type: 'served', status: 200 };
    }
    this.recordOutcome(chosen, outcome);
    if (outcome.type === 'stopped') return { type: 'stopped' };
    const result: AttemptResult =
      outcome.type === 'answered'
        ? { type: 'answered', isFailure: outcome.head.status >= 500 }
        : outcome;
    const next = this.chooseEndpoint();
    const budget = context.getRetryBudget(service);
    const nowMs = context.clock.nowMs();
    const step = decideNextStep({
      result,
      isRetryable: isRetryable(route),
      possibleRuns: this.possibleRunCount,
      sends: this.sendCount,
      maxPossibleRuns: route.maxAttempts,
      remainingMs: timeLimitMs - getElapsedMs(),
      expectedMs: next?.placement.expectedMs ?? 0,
      hasAlternative: next !== undefined,
      hasRetryBudget: budget.hasRetry(context.clusterState.nodeCount, nowMs),
      hasResponseStarted: callerResponse.hasStarted,
      hasUnnumberedEvents: this.framer?.hasUnnumberedEvents ?? false,
    });
    if (outcome.type !== 'answered' || step.type !== 'deliver') {
      logAttemptFailed(context, head, chosen, outcome, step, {
        sends: this.sendCount,
        runs: this.possibleRunCount,
        elapsedMs: getElapsedMs(),
        hasOutput: this.attempt?.hasOutput ?? false,
        lastEventId: this.framer?.lastEventId,
      });
    }
    switch (step.type) {
      case 'deliver':
        if (outcome.type !== 'answered') return { type: 'ended', reason: outcome.type };
        callerResponse.sendEndpointResponse(outcome.head, outcome.body);
        if (outcome.head.status < 300 && outcome.hasExplicitEnd) this.recordPartCompletion();
        return { type: 'served', status: outcome.head.status };
      case 'retry':
        if (next === undefined) return { type: 'ended', reason: step.reason };
        // Sending a request that the endpoint did not receive again costs no retry budget.
        if (outcome.type !== 'not_run' || outcome.wasReceived)
          budget.tryTake(context.clusterState.nodeCount, nowMs);
        return { type: 'retry', chosen: next };
      case 'refuse':
      case 'fail':
        return { type: 'ended', reason: step.reason };
      default:
        return step satisfies never;
    }
  }

  private recordPartCompletion(): void {
    const { head } = this.input.routedRequest;
    this.context.promptPartContainment.recordCompletion(listSharedPartIds(head));
  }
}
