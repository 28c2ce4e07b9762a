import {
  decideHedge,
  type EventStreamFramer,
  type HedgeAlternative,
  type HedgeInput,
} from '@lovagearch/exchange';
import { isRetryable } from '@lovagearch/traffic';
import { type Attempt, type AttemptOutcome, getEndpointStartKey } from './attempt.js';
import { MIN_REMAINING_TO_SEND_MS } from './constants.js';
import type { RoutedRequest } from './createAttempt.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ForecastSend, Hedging } from './hedging.js';
import type { ChosenEndpoint } from './placeRequest.js';
import { isSuspect } from './quarantine.js';
import { logHedged, logHedgeEnded, logHedgeSkipped } from './requestLog.js';

/** One send of a request, in progress. */
export interface Send {
  readonly chosen: ChosenEndpoint;
  readonly attempt: Attempt;
  readonly framer: EventStreamFramer | undefined;
  readonly sentAtMs: number;
  readonly outcome: Promise<AttemptOutcome>;
}

/** A send that has ended. */
export interface EndedSend {
  readonly send: Send;
  readonly outcome: AttemptOutcome;
}

export interface RaceInput {
  readonly routedRequest: RoutedRequest;
  readonly hedging: Hedging;
  readonly first: Send;
  readonly getRemainingMs: () => number;
  readonly hasResponseStarted: () => boolean;
  readonly isStopped: () => boolean;
  /** Returns the number of sends of the request so far. */
  readonly getSendCount: () => number;
  /** Places the request on an endpoint that it was not sent to before. */
  readonly findAlternative: () => ChosenEndpoint | undefined;
  readonly send: (chosen: ChosenEndpoint, remainingMs: number) => Send;
}

/** What became of a hedge: its response was used, that of the first send, or neither. */
export type HedgeResult = 'cancelled' | 'failed' | 'lost' | 'won';

/** An endpoint on which a late request was placed. */
export interface PlacedAlternative extends HedgeAlternative {
  readonly chosen: ChosenEndpoint;
}

/** Whether an outcome is a usable response, after which other sends are not needed. */
const isResponse = (outcome: AttemptOutcome): boolean =>
  outcome.type === 'passed_on' || (outcome.type === 'answered' && outcome.head.status < 500);

const describeSend = ({ service, route }: RoutedRequest, { chosen }: Send): ForecastSend => ({
  service,
  route: route.name,
  endpointStart: getEndpointStartKey(chosen.endpoint),
  expectedMs: chosen.placement.expectedMs,
});

/**
 * The first send of a request, and a second one if the first is late. The first complete response, or the first event
 * of a stream, wins; the other send is cancelled at once and writes nothing to the caller.
 *
 * @example
 * const race = SendRace.create(context, input);
 * const { send, outcome } = await race.run();
 */
export class SendRace {
  private readonly sends: Send[];

  private readonly followed: Promise<void>[] = [];

  private readonly ended: EndedSend[] = [];

  private winner: Send | undefined;

  private hedge: Send | undefined;

  private hedgeTimer: NodeJS.Timeout | undefined;

  private dueAtMs = Number.POSITIVE_INFINITY;

  private stopWatching = (): void => undefined;

  private constructor(
    private readonly context: GatewayContext,
    private readonly input: RaceInput,
  ) {
    this.sends = [input.first];
  }

  static create(context: GatewayContext, input: RaceInput): SendRace {
    return new SendRace(context, input);
  }

  /**
   * Waits until all sends have ended.
   *
   * @returns the send whose outcome counts for the request
   */
  async run(): Promise<EndedSend> {
    const { first, hedging, routedRequest } = this.input;
    const delayMs = hedging.getDelayMs(describeSend(routedRequest, first), first.sentAtMs);
    if (delayMs !== undefined) {
      this.dueAtMs = first.sentAtMs + delayMs;
      const { zone } = first.chosen.endpoint.record;
      this.stopWatching = hedging.watchSend(zone, this.dueAtMs);
      this.hedgeTimer = setTimeout(() => this.tryHedge(delayMs), delayMs);
    }
    this.followed.push(this.followSend(first));
    // A hedge that begins meanwhile is appended.
    for (const ending of this.followed) await ending;
    const decisive = this.findDecisive();
    if (this.hedge !== undefined) this.recordHedgeEnd(this.hedge);
    return decisive;
  }

  /** Makes a send the winner, as its response is about to be passed on to the caller. */
  claimResponse(attempt: Attempt): void {
    if (this.winner !== undefined) return;
    const winner = this.sends.find((send) => send.attempt === attempt);
    if (winner === undefined) return;
    this.endWaiting();
    if (winner.framer !== undefined) this.recordLateness(winner);
    this.setWinner(winner);
  }

  private setWinner(winner: Send): void {
    this.winner = winner;
    for (const send of this.sends) if (send !== winner) send.attempt.stopOvertaken();
  }

  private endWaiting(): void {
    clearTimeout(this.hedgeTimer);
    this.stopWatching();
  }

  private async followSend(send: Send): Promise<void> {
    const outcome = await send.outcome;
    if (send === this.input.first) this.endWaiting();
    this.ended.push({ send, outcome });
    if (this.winner === undefined && isResponse(outcome)) this.setWinner(send);
    const isCompleteCall = send.framer === undefined && isResponse(outcome);
    // A send that is cancelled or fails took at least until now, which counts if it was late already.
    const isLate = send === this.input.first && this.context.clock.nowMs() >= this.dueAtMs;
    if (isCompleteCall || (isLate && send !== this.winner)) this.recordLateness(send);
  }

  private recordLateness(send: Send): void {
    const { routedRequest, hedging } = this.input;
    const nowMs = this.context.clock.nowMs();
    hedging.recordResponse(describeSend(routedRequest, send), nowMs - send.sentAtMs, nowMs);
  }

  private findDecisive(): EndedSend {
    const won = this.ended.find(({ send }) => send === this.winner);
    const stopped = this.input.isStopped()
      ? this.ended.find(({ outcome }) => outcome.type === 'stopped')
      : undefined;
    const answered = this.ended.find(({ outcome }) => outcome.type === 'answered');
    const decisive = won ?? stopped ?? answered ?? this.ended.at(-1);
    if (decisive === undefined) throw new Error('no send of the request has ended');
    return decisive;
  }

  private tryHedge(delayMs: number): void {
    const { context } = this;
    const { routedRequest, hedging, first, getRemainingMs, send } = this.input;
    const { service } = routedRequest;
    const nowMs = context.clock.nowMs();
    const input = this.createHedgeInput(nowMs);
    const decision = decideHedge(input);
    const inputs = { delayMs, first: first.chosen, input };
    switch (decision.type) {
      case 'skip':
        context.metrics.recordHedge(service, `skipped_${decision.reason}`);
        logHedgeSkipped(context, routedRequest, inputs, decision.reason);
        return;
      case 'hedge':
        context.getRetryBudget(service).tryTake(context.clusterState.nodeCount, nowMs);
        hedging.takeShare(service, nowMs);
        logHedged(context, routedRequest, inputs, decision.alternative);
        this.hedge = send(decision.alternative.chosen, getRemainingMs());
        this.sends.push(this.hedge);
        this.followed.push(this.followSend(this.hedge));
        return;
      default:
        decision satisfies never;
    }
  }

  private createHedgeInput(nowMs: number): HedgeInput<PlacedAlternative> {
    const { context } = this;
    const { routedRequest, hedging, findAlternative } = this.input;
    const { route, service } = routedRequest;
    const { clusterState, intake } = context;
    const readDelayMs = intake.getReadDelayMs();
    return {
      isRepeatable: isRetryable(route),
      hasCallerLeft: this.input.isStopped(),
      hasResponseStarted: this.input.hasResponseStarted(),
      sends: this.input.getSendCount(),
      maxAttempts: route.maxAttempts,
      eventLoopDelayMs: Math.max(readDelayMs, nowMs - this.dueAtMs),
      inProgress: hedging.countInProgress(nowMs),
      hasShare: hedging.hasShare(service, nowMs),
      hasRetryBudget: context.getRetryBudget(service).hasRetry(clusterState.nodeCount, nowMs),
      isSuspect: () => isSuspect(context, routedRequest),
      findAlternative: () => {
        const chosen = findAlternative();
        if (chosen === undefined) return undefined;
        const { expectedMs, ownMs } = chosen.placement;
        // Of many nodes, each hears of an endpoint so rarely that an aged report counts as well.
        const queuedRequests = Math.max(
          chosen.endpoint.estimateRequests(nowMs).waiting,
          Math.round(chosen.endpoint.estimateRequests(nowMs, clusterState.nodeCount).waiting),
        );
        return { chosen, expectedMs, waitMs: expectedMs - ownMs, queuedRequests };
      },
      targetLatencyMs: route.targetLatencyMs,
      remainingMs: this.input.getRemainingMs() - MIN_REMAINING_TO_SEND_MS,
    };
  }

  private recordHedgeEnd(hedge: Send): void {
    const { context, winner } = this;
    const { routedRequest, first, isStopped } = this.input;
    let result: HedgeResult = isStopped() ? 'cancelled' : 'failed';
    if (winner === hedge) result = 'won';
    else if (winner === first) result = 'lost';
    context.metrics.recordHedge(routedRequest.service, result);
    const nowMs = context.clock.nowMs();
    const findOutcome = (sent: Send) => this.ended.find(({ send }) => send === sent)?.outcome.type;
    logHedgeEnded(context, routedRequest, result, {
      endpoint: hedge.chosen.endpoint.record.id,
      firstOutcome: findOutcome(first),
      hedgeOutcome: findOutcome(hedge),
      firstElapsedMs: nowMs - first.sentAtMs,
      hedgeElapsedMs: nowMs - hedge.sentAtMs,
    });
  }
}
