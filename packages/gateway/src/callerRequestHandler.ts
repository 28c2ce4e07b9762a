import type { IncomingMessage, ServerResponse } from 'node:http';
import { getHttpStatus } from '@lovagearch/common';
import { MAX_SENDS_PER_REQUEST } from '@lovagearch/exchange';
import { decideRelay } from '@lovagearch/relaying';
import { isRetryable, type Route } from '@lovagearch/traffic';
import { createRepeatRefusal, decideOverload, recordAdmitted } from './createOverloadRefusal.js';
import { CallerResponse } from './callerResponse.js';
import { chooseService, findContinuation } from './continuedStreams.js';
import type { RoutedRequest } from './createAttempt.js';
import {
  DEFAULT_TIME_LIMIT_MS,
  MIN_RETRY_AFTER_MS,
  MIN_REMAINING_TO_SEND_MS,
  TIMEOUT_RESPONSE_GRACE_MS,
  UNREACHABLE_RETRY_AFTER_MS,
} from './constants.js';
import type { GatewayContext } from './gatewayContext.js';
import type { Arrival } from './intake/requestIntake.js';
import { planReturn } from './planReturn.js';
import type { ChosenEndpoint } from './placeRequest.js';
import { createFailure, createRefusal, type LocalReply, sendLocalReply } from './localReply.js';
import { createStreamFields, logNotPlaced, logStopped, type StopReason } from './requestLog.js';
import { createQuarantineRefusal, isQuarantined } from './quarantine.js';
import { RELAY_RESULT_HEADER, type RelayedDetails } from './relay/relayHeaders.js';
import type { RelayAcceptance } from './relay/acceptedRelay.js';
import { isKeptByLostLinks, isServiceUnreachable } from './relay/lostLinks.js';
import { type RelayConclusion, RequestRelay } from './relay/requestRelay.js';
import { RequestAttempts } from './requestAttempts.js';
import { readBody } from './requestBody.js';
import { getTimeLimitMs, routeRequest } from './routeRequest.js';
import type { RequestHead } from './types.js';

/** Statuses with which a peer says that a request may have run. */
const PEER_FAILURE_STATUSES: ReadonlySet<number> = new Set([
  getHttpStatus('endpoint_failed'),
  getHttpStatus('deadline_exceeded'),
]);

/** Handles one request of a caller, from its head to the end of the response. */
export class CallerRequestHandler {
  /** Clock reading at which the request arrived, at the earliest. */
  private readonly startMs: number;

  private readonly arrival: Arrival;

  private readonly callerResponse: CallerResponse;

  /** Undefined until the request may be sent. */
  private attempts: RequestAttempts | undefined;

  /** Undefined unless the request goes through a peer. */
  private relay: RequestRelay | undefined;

  private stopReason: StopReason | undefined;

  /** Ends the wait at this node, if the request has started one. */
  private cancelHold: (() => void) | undefined;

  private timeLimitTimer: NodeJS.Timeout | undefined;

  private timeLimitMs = DEFAULT_TIME_LIMIT_MS;

  private firstByteMs: number | undefined;

  private releaseBody = (): void => undefined;

  private accountName = 'none';

  private requestId: string | undefined;

  private isReadingBody = false;

  private hasLoggedCompletion = false;

  private constructor(
    private readonly context: GatewayContext,
    private readonly incoming: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly acceptance: RelayAcceptance | undefined,
  ) {
    this.arrival = context.intake.dateRequest(incoming.socket);
    this.startMs = this.arrival.atMs;
    context.metrics.recordReadDelay(this.arrival.waitedIn, this.arrival.delayMs);
    this.callerResponse = CallerResponse.create(response, {
      isDraining: () => context.getShutdown() !== undefined,
      unsentMemory: context.unsentMemory,
      onSlowCaller: () => context.metrics.recordSlowCaller(),
      createResultHeaders:
        acceptance === undefined ? undefined : (result) => [RELAY_RESULT_HEADER, result],
    });
  }

  /** @param acceptance set if a peer passed the request on */
  static create(
    context: GatewayContext,
    incoming: IncomingMessage,
    response: ServerResponse,
    acceptance?: RelayAcceptance,
  ): CallerRequestHandler {
    return new CallerRequestHandler(context, incoming, response, acceptance);
  }

  /** Serves the request. All paths end with a response or closed connection, a log line and freed body memory. */
  async serve(): Promise<void> {
    const { socket } = this.incoming;
    const handleClose = () => {
      if (!this.response.writableFinished) this.stop('caller_left');
    };
    // A pipelined response gets no `close` event before its turn, and a connection with unsent output none
    // before that is delivered.
    const closeEvents = ['end', 'close'] as const;
    for (const event of closeEvents) socket.once(event, handleClose);
    this.response.once('close', handleClose);
    try {
      await this.readAndServe();
    } finally {
      for (const event of closeEvents) socket.off(event, handleClose);
      clearTimeout(this.timeLimitTimer);
      this.releaseBody();
    }
  }

  private async readAndServe(): Promise<void> {
    const { context, incoming, acceptance } = this;
    if (acceptance?.type === 'rejected') {
      this.rejectRelay(acceptance);
      return;
    }
    const { method, url } = incoming;
    const { rawHeaders } = acceptance ?? incoming;
    const routing = routeRequest(context, { method, url, rawHeaders });
    if (routing.type === 'refused') {
      this.reply(routing.head, routing.route, routing.refusal);
      return;
    }
    const { head, route, account, limits } = routing;
    this.accountName = account?.name ?? 'none';
    this.requestId = head.requestId;
    context.routeDurations.recordArrival(route.name, this.startMs);
    this.timeLimitMs = Math.min(
      getTimeLimitMs(head, route),
      acceptance?.details.limitMs ?? Number.POSITIVE_INFINITY,
    );
    this.timeLimitTimer = setTimeout(
      () => this.stop('time_limit'),
      Math.max(0, this.timeLimitMs - this.getElapsedMs()) + TIMEOUT_RESPONSE_GRACE_MS,
    );
    this.isReadingBody = true;
    const read = await readBody(incoming, {
      maxBytes: limits.maxBodyBytes,
      memory: context.bodyMemory,
      pacer: context.responseLimits.pacer,
    });
    this.isReadingBody = false;
    switch (read.type) {
      case 'aborted':
        this.logCompletion(head, route, 'caller_left', undefined);
        return;
      case 'too_large': {
        const message = `the request body exceeds ${limits.maxBodyBytes} bytes`;
        this.reply(head, route, createRefusal('body_too_large', message));
        return;
      }
      case 'no_memory': {
        const message = 'the memory for buffered request bodies is full';
        this.reply(head, route, createRefusal('overloaded', message, MIN_RETRY_AFTER_MS));
        return;
      }
      case 'body': {
        this.releaseBody = read.release;
        const turnWait = context.intake.waitForTurn();
        this.cancelHold = turnWait.cancel;
        await turnWait.ended;
        this.cancelHold = undefined;
        const service = chooseService(context, head, route, account);
        if (service === undefined) {
          this.reply(head, route, createRefusal('no_endpoint', 'the route has no target'));
          return;
        }
        await this.serveRoutedRequest({ head, route, service, account, body: read.body });
        return;
      }
      default:
        read satisfies never;
    }
  }

  private async serveRoutedRequest(routedRequest: RoutedRequest): Promise<void> {
    const { context } = this;
    const { head, route, service } = routedRequest;
    if (this.stopReason !== undefined) {
      this.handleStop(routedRequest);
      return;
    }
    if (this.endIfQuarantined(routedRequest)) return;
    if (isServiceUnreachable(context, service)) {
      await this.endUnreachable(routedRequest);
      return;
    }
    const continuation = await findContinuation(context, routedRequest);
    if (this.stopReason !== undefined) {
      this.handleStop(routedRequest);
      return;
    }
    if (continuation.type === 'refused') {
      this.reply(head, route, continuation.refusal);
      return;
    }
    if (this.relayedDetails?.isCounted !== true)
      context.getRetryBudget(service).recordRequest(context.clock.nowMs());
    const attempts = RequestAttempts.create(context, {
      routedRequest,
      callerResponse: this.callerResponse,
      softwareVersion: continuation.softwareVersion,
      earlierRuns: this.relayedDetails?.runs ?? 0,
      earlierSends: this.relayedDetails?.sends ?? 0,
      timeLimitMs: this.timeLimitMs,
      getElapsedMs: () => this.getElapsedMs(),
      onFirstByte: () => this.recordFirstByte(route),
    });
    this.attempts = attempts;
    const repeatRefusal = createRepeatRefusal(context, routedRequest);
    if (repeatRefusal !== undefined) {
      this.reply(head, route, repeatRefusal);
      return;
    }
    context.brittleServices.recordRequest(service, context.clock.nowMs());
    let chosen = attempts.chooseEndpoint() ?? (await this.waitForBrittle(routedRequest, attempts));
    if (chosen !== undefined) {
      chosen = await this.waitForAdmission(routedRequest, attempts, chosen);
      if (chosen === undefined) return;
    }
    while (this.stopReason === undefined) {
      const remainingMs = this.timeLimitMs - this.getElapsedMs();
      if (chosen === undefined && isKeptByLostLinks(context, service, attempts.lastPlacement)) {
        await this.endUnreachable(routedRequest);
        return;
      }
      if (chosen === undefined || remainingMs < MIN_REMAINING_TO_SEND_MS) {
        this.replyWithRefusalOrFailure(
          routedRequest,
          chosen === undefined ? 'no endpoint is ready' : 'time is short',
        );
        return;
      }
      if (attempts.sendCount > 0 && this.endIfQuarantined(routedRequest)) return;
      const conclusion = await attempts.run(chosen, remainingMs);
      switch (conclusion.type) {
        case 'retry':
          chosen = conclusion.chosen;
          break;
        case 'served':
          this.logCompletion(head, route, 'served', conclusion.status);
          return;
        case 'stopped':
          this.handleStop(routedRequest);
          return;
        case 'ended':
          if (conclusion.hasLostLinks) await this.endUnreachable(routedRequest);
          else this.replyWithRefusalOrFailure(routedRequest, conclusion.reason);
          return;
        default:
          conclusion satisfies never;
      }
    }
    this.handleStop(routedRequest);
  }

  /** Number of attempts that may have run the request. */
  private get possibleRunCount(): number {
    const relayedRuns = this.relay?.mayHaveRun === true ? 1 : 0;
    return (this.attempts?.possibleRunCount ?? this.relayedDetails?.runs ?? 0) + relayedRuns;
  }

  /** What the peer that passed the request on told about it; undefined if it came from its caller. */
  private get relayedDetails(): RelayedDetails | undefined {
    return this.acceptance?.type === 'accepted' ? this.acceptance.details : undefined;
  }

  /** Refuses a request of a peer. */
  private rejectRelay({ refusal, result }: Extract<RelayAcceptance, { type: 'rejected' }>): void {
    const { requestIdHeader } = this.context.headers;
    const requestId = this.incoming.headers[requestIdHeader];
    sendLocalReply(this.callerResponse, requestId?.toString(), requestIdHeader, refusal, result);
    this.logCompletion(undefined, undefined, result, refusal.status, refusal.error.message);
  }

  /** Ends a request for which this node can reach no endpoint: a peer takes it, or it is refused. */
  private async endUnreachable(routedRequest: RoutedRequest): Promise<void> {
    const { context, attempts } = this;
    const { route, service } = routedRequest;
    const { nodeCount } = context.clusterState;
    const nowMs = context.clock.nowMs();
    const budget = context.getRetryBudget(service);
    const runs = this.possibleRunCount;
    const sends = attempts?.receivedCount ?? 0;
    const decision = decideRelay({
      isRelayed: this.acceptance !== undefined,
      hasResponseStarted: this.callerResponse.hasStarted,
      sends,
      maxSends: Math.max(MAX_SENDS_PER_REQUEST, route.maxAttempts),
      runs,
      maxRuns: route.maxAttempts,
      isRetryable: isRetryable(route),
      hasRetryBudget: budget.hasRetry(nodeCount, nowMs),
    });
    if (decision.type === 'end') {
      this.refuseUnreachable(routedRequest, undefined);
      return;
    }
    if (decision.isRetry) budget.tryTake(nodeCount, nowMs);
    this.relay = RequestRelay.create(context, {
      routedRequest,
      rawHeaders: this.incoming.rawHeaders,
      callerResponse: this.callerResponse,
      runs,
      sends,
      isCounted: attempts !== undefined,
      getRemainingMs: () => this.timeLimitMs - this.getElapsedMs(),
      onFirstByte: () => this.recordFirstByte(route),
    });
    this.handleRelayConclusion(routedRequest, await this.relay.run());
  }

  private handleRelayConclusion(routedRequest: RoutedRequest, conclusion: RelayConclusion): void {
    const { head, route } = routedRequest;
    switch (conclusion.type) {
      case 'served':
        this.logCompletion(head, route, 'served', conclusion.status);
        return;
      case 'replied': {
        const { status, headers, body, result } = conclusion.reply;
        // What the peer didn't run may have run before.
        if (this.possibleRunCount > 0 && !PEER_FAILURE_STATUSES.has(status)) {
          this.replyWithRefusalOrFailure(routedRequest, result);
          return;
        }
        this.callerResponse.sendLocalReply(status, headers, body, result);
        this.logCompletion(head, route, result, status, 'reply of the peer');
        return;
      }
      case 'not_taken':
        this.refuseUnreachable(routedRequest, conclusion.retryInMs);
        return;
      case 'broken':
        this.replyWithRefusalOrFailure(routedRequest, conclusion.reason);
        return;
      case 'stopped':
        this.handleStop(routedRequest);
        return;
      default:
        conclusion satisfies never;
    }
  }

  /**
   * Ends a request for which neither this node nor a peer reaches an endpoint.
   *
   * @param retryInMs time until a peer may be asked again
   */
  private refuseUnreachable(routedRequest: RoutedRequest, retryInMs: number | undefined): void {
    const { head, route } = routedRequest;
    const reason = 'no endpoint of the service can be reached';
    // Another peer may take a request that this node has not sent, whatever happened to it before.
    const earlierRuns = this.relayedDetails?.runs ?? 0;
    if (this.possibleRunCount > earlierRuns || this.callerResponse.hasStarted) {
      this.replyWithRefusalOrFailure(routedRequest, reason);
      return;
    }
    const retryAfterMs = planReturn(this.context, routedRequest, {
      drainMs: Math.max(MIN_RETRY_AFTER_MS, retryInMs ?? UNREACHABLE_RETRY_AFTER_MS),
      workMs: undefined,
      remainingMs: this.timeLimitMs - this.getElapsedMs(),
    });
    this.reply(head, route, createRefusal('endpoints_unreachable', reason, retryAfterMs));
  }

  /** Ends a request that is quarantined; returns whether it is. Checked before each send. */
  private endIfQuarantined(routedRequest: RoutedRequest): boolean {
    const { head, route } = routedRequest;
    if (this.possibleRunCount > 0) {
      if (!isQuarantined(this.context, routedRequest)) return false;
      this.replyWithRefusalOrFailure(routedRequest, 'the request or a part of it is quarantined');
      return true;
    }
    const refusal = createQuarantineRefusal(this.context, routedRequest);
    if (refusal !== undefined) this.reply(head, route, refusal);
    return refusal !== undefined;
  }

  /** Waits for a moment if only their brittleness keeps endpoints from the request. */
  private async waitForBrittle(
    { head, service }: RoutedRequest,
    attempts: RequestAttempts,
  ): Promise<ChosenEndpoint | undefined> {
    const { lastPlacement } = attempts;
    if (lastPlacement?.type !== 'none' || lastPlacement.counts.brittle === undefined)
      return undefined;
    const { brittleWaits } = this.context;
    const remainingMs = this.timeLimitMs - this.getElapsedMs();
    const place = () => attempts.chooseEndpoint();
    const wait = brittleWaits.wait(this.context, service, head.requestId, remainingMs, place);
    this.cancelHold = wait?.cancel;
    return wait?.ended;
  }

  /** Returns the endpoint once the request is admitted; replies and returns undefined if it is refused. */
  private async waitForAdmission(
    routedRequest: RoutedRequest,
    attempts: RequestAttempts,
    chosen: ChosenEndpoint,
  ): Promise<ChosenEndpoint | undefined> {
    const { context } = this;
    const { head, route } = routedRequest;
    const decide = (candidate: ChosenEndpoint, isHeld: boolean) => {
      const timing = { elapsedMs: this.getElapsedMs(), timeLimitMs: this.timeLimitMs };
      return decideOverload(context, routedRequest, candidate, timing, isHeld);
    };
    const decision = decide(chosen, false);
    switch (decision.type) {
      case 'admit':
        return chosen;
      case 'refuse':
        this.reply(head, route, decision.refusal);
        return undefined;
      case 'hold': {
        // A node may send a quarantined request once to test it.
        const isProbe = isQuarantined(context, routedRequest);
        const hold = context.heldCalls.hold(context, {
          routedRequest,
          chosen,
          reason: decision.reason,
          elapsedMs: this.getElapsedMs(),
          timeLimitMs: this.timeLimitMs,
          findRoom: () => {
            const next = attempts.chooseEndpoint();
            // A peer may have room while this node can't reach any endpoint.
            if (isKeptByLostLinks(context, routedRequest.service, attempts.lastPlacement))
              queueMicrotask(() => this.cancelHold?.());
            return next !== undefined && decide(next, true).type === 'admit' ? next : undefined;
          },
        });
        this.cancelHold = hold?.cancel;
        const released = await hold?.ended;
        if (this.stopReason !== undefined) {
          this.handleStop(routedRequest);
          return undefined;
        }
        if (!isProbe && this.endIfQuarantined(routedRequest)) return undefined;
        if (released !== undefined) {
          recordAdmitted(context, routedRequest, released, true);
          return released;
        }
        if (isKeptByLostLinks(context, routedRequest.service, attempts.lastPlacement)) {
          await this.endUnreachable(routedRequest);
          return undefined;
        }
        const reason = hold === undefined ? 'hold_full' : 'expired';
        context.metrics.recordAdmission(route.name, 'refuse', reason);
        this.replyWithRefusalOrFailure(routedRequest, 'no endpoint has room');
        return undefined;
      }
      default:
        return decision satisfies never;
    }
  }

  private recordFirstByte(route: Route): void {
    if (this.firstByteMs !== undefined) return;
    this.firstByteMs = this.getElapsedMs();
    this.context.metrics.recordFirstByte(route.name, this.firstByteMs);
  }

  /** Ends a request without a complete response of an endpoint. */
  private replyWithRefusalOrFailure(routedRequest: RoutedRequest, reason: string): void {
    const { head, route } = routedRequest;
    const lastPlacement = this.attempts?.lastPlacement;
    if (lastPlacement?.type === 'none')
      logNotPlaced(this.context, routedRequest, lastPlacement.counts);
    if (this.callerResponse.hasStarted) {
      this.callerResponse.abort();
      this.logCompletion(head, route, 'broken_off', undefined, reason);
    } else if (this.possibleRunCount > 0) {
      this.reply(head, route, createFailure('endpoint_failed', reason));
    } else {
      const retryAfterMs = this.computeRetryAfterMs(routedRequest);
      this.reply(head, route, createRefusal('overloaded', reason, retryAfterMs));
    }
  }

  private handleStop({ head, route }: RoutedRequest): void {
    if (this.stopReason === 'caller_left') {
      this.logCompletion(head, route, 'caller_left', undefined);
    } else if (this.callerResponse.hasStarted) {
      this.callerResponse.abort();
      this.logCompletion(head, route, 'broken_off', undefined, 'time limit');
    } else if (this.possibleRunCount > 0) {
      this.reply(
        head,
        route,
        createFailure('deadline_exceeded', 'no response within the time limit'),
      );
    } else {
      const message = 'the time limit passed before an endpoint took the request';
      this.reply(head, route, createRefusal('overloaded', message, MIN_RETRY_AFTER_MS));
    }
  }

  /** Returns the delay until an endpoint may take the request; refused requests return one after the other. */
  private computeRetryAfterMs(routedRequest: RoutedRequest): number {
    const { context } = this;
    const lastPlacement = this.attempts?.lastPlacement;
    if (lastPlacement?.type === 'none' && lastPlacement.holdEndMs !== undefined) {
      const forecast = { drainMs: 0, workMs: undefined, remainingMs: Number.POSITIVE_INFINITY };
      const untilHoldEndMs = Math.max(0, lastPlacement.holdEndMs - context.clock.nowMs());
      // Before the end of the hold, a return is of no use even if the caller can't wait for it.
      return untilHoldEndMs + planReturn(context, routedRequest, forecast);
    }
    return planReturn(context, routedRequest, {
      drainMs: MIN_RETRY_AFTER_MS,
      workMs: undefined,
      remainingMs: this.timeLimitMs - this.getElapsedMs(),
    });
  }

  private stop(reason: StopReason): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = reason;
    this.attempts?.stop();
    this.relay?.stop();
    this.cancelHold?.();
    this.recordStop(reason);
    // The rest of the body may never arrive, so the connection can't be reused for another request.
    if (this.isReadingBody && reason === 'time_limit') this.incoming.destroy();
  }

  /** Records how late the end of the request was noticed, and what it has left at endpoints. */
  private recordStop(reason: StopReason): void {
    const { context, attempts, relay } = this;
    const elapsedMs = this.getElapsedMs();
    const overLimitMs = elapsedMs - this.timeLimitMs;
    // A close may have waited like the bytes that are read now.
    const noticedAfterMs =
      reason === 'caller_left' ? context.intake.getReadDelayMs() : Math.max(0, overLimitMs);
    const wasSent = attempts?.wasSent ?? false;
    if (wasSent || relay !== undefined) context.metrics.recordStop(reason, noticedAfterMs);
    logStopped(context, this.requestId, reason, {
      isReadingBody: this.isReadingBody,
      endpoint: attempts?.triedEndpointIds.at(-1),
      wasSent,
      sends: attempts?.sendCount ?? 0,
      elapsedMs,
      overLimitMs,
      noticedAfterMs,
      readDelayMs: this.arrival.delayMs,
      waitedIn: this.arrival.waitedIn,
      handedMs: attempts?.handedMs ?? [],
      unsentBytes: attempts?.unsentBytesAtEnd ?? 0,
      relayedBy: this.relayedDetails?.node,
      relayedTo: relay?.peers.at(-1),
    });
  }

  private reply(
    head: RequestHead | undefined,
    route: Route | undefined,
    localReply: LocalReply,
  ): void {
    if (!this.callerResponse.isClosed) {
      sendLocalReply(
        this.callerResponse,
        head?.requestId,
        this.context.headers.requestIdHeader,
        localReply,
      );
    }
    this.logCompletion(
      head,
      route,
      localReply.error.type,
      localReply.status,
      localReply.error.message,
    );
  }

  private logCompletion(
    head: RequestHead | undefined,
    route: Route | undefined,
    outcome: string,
    status: number | undefined,
    reason?: string,
  ): void {
    const { context } = this;
    if (this.hasLoggedCompletion) return;
    this.hasLoggedCompletion = true;
    const totalMs = this.getElapsedMs();
    if (route !== undefined) {
      if (outcome === 'served') context.routeDurations.recordResponse(route.name, totalMs);
      else context.routeDurations.recordFailure(route.name, this.startMs);
    }
    // The node of its caller counts a request that came through a peer.
    if (this.acceptance === undefined)
      context.metrics.recordRequest(route?.name ?? 'none', this.accountName, outcome, totalMs);
    else context.metrics.recordAcceptedRelay(outcome);
    const fields = {
      request: head?.requestId,
      route: route?.name,
      status,
      outcome,
      reason,
      endpoints: this.attempts?.triedEndpointIds ?? [],
      relayedTo: this.relay?.peers,
      relayedBy: this.relayedDetails?.node,
      responseEnd: outcome === 'served' ? this.attempts?.responseEnd : undefined,
      ...createStreamFields(head, this.attempts?.framer),
      firstByteMs: this.firstByteMs === undefined ? undefined : Math.round(this.firstByteMs),
      totalMs: Math.round(totalMs),
      readDelayMs: Math.round(this.arrival.delayMs),
      limitMs: this.timeLimitMs,
      configuration: context.clusterState.trafficRules?.version,
    };
    if (outcome === 'served') context.log.logRequest('ended', fields);
    else context.log.logProblem('ended', fields);
  }

  private getElapsedMs(): number {
    return this.context.clock.nowMs() - this.startMs;
  }
}
