import { MAX_RELAY_TRIES, type RelayPeer, type RelayResult } from '@lovagearch/relaying';
import type { CallerResponse } from '../callerResponse.js';
import type { RoutedRequest } from '../createAttempt.js';
import type { GatewayContext } from '../gatewayContext.js';
import { MIN_REMAINING_TO_RELAY_MS } from './constants.js';
import { encodeRelayedHeaders, FULL_RESULT } from './relayHeaders.js';
import { listRelayPeers } from './relaying.js';
import { logRelayed, logNotRelayed, type RelayReason } from './relayLog.js';
import { type PeerReply, type RelayOutcome, RelaySend } from './relaySend.js';

/** Status with which a node of an earlier release answers a path that it doesn't serve. */
const NOT_FOUND_STATUS = 404;

/** What became of a request that was to go through a peer. */
export type RelayConclusion =
  /** A response was cut off, or there is none and the request may have run. */
  | { readonly type: 'broken'; readonly reason: string }
  /** No peer took the request, and none ever will. */
  | { readonly type: 'not_taken'; readonly reason: string; readonly retryInMs: number | undefined }
  /** A peer replied itself; the caller has not received it yet. */
  | { readonly type: 'replied'; readonly reply: PeerReply }
  | { readonly type: 'served'; readonly status: number }
  | { readonly type: 'stopped' };

export interface RelayInput {
  readonly routedRequest: RoutedRequest;
  /** Headers as the caller sent them, as alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly callerResponse: CallerResponse;
  /** Number of times that the request may have run, and of endpoints that received it. */
  readonly runs: number;
  readonly sends: number;
  /** Whether it counts in the retry budget of this node. */
  readonly isCounted: boolean;
  readonly getRemainingMs: () => number;
  readonly onFirstByte: () => void;
}

/** Returns what a peer's own reply shows about it; `carried` if the reply is for the caller. */
const classifyReply = ({ result, status }: PeerReply): RelayResult => {
  switch (result) {
    case FULL_RESULT:
      return 'full';
    case 'endpoints_unreachable':
      return 'unreachable';
    case 'draining':
    case 'not_ready':
      return 'unavailable';
    case 'bad_request':
    case 'body_too_large':
    case 'forbidden':
    case 'headers_too_large':
    case 'no_allowed_region':
    case 'not_found':
    case 'unauthorized':
      return status < 500 || result === 'no_allowed_region' ? 'disagreed' : 'carried';
    default:
      return 'carried';
  }
};

/**
 * Passes a request on to peers, one after the other until one takes it, as this node can't reach the endpoints.
 *
 * @example
 * const relay = RequestRelay.create(context, input);
 * const conclusion = await relay.run();
 */
export class RequestRelay {
  private send: RelaySend | undefined;

  private isStopped = false;

  private hasBrokenOff = false;

  /** Names of the peers that the request was offered to. */
  private readonly offeredTo = new Set<string>();

  private constructor(
    private readonly context: GatewayContext,
    private readonly input: RelayInput,
  ) {}

  static create(context: GatewayContext, input: RelayInput): RequestRelay {
    return new RequestRelay(context, input);
  }

  /** Whether a peer may have received a part of the request and run it. */
  get mayHaveRun(): boolean {
    return this.hasBrokenOff || (this.send?.wasSent ?? false);
  }

  get peers(): readonly string[] {
    return [...this.offeredTo];
  }

  stop(): void {
    this.isStopped = true;
    this.send?.stop();
  }

  async run(): Promise<RelayConclusion> {
    const { context } = this;
    const { service } = this.input.routedRequest;
    const { peers } = context.relaying;
    while (!this.isStopped) {
      const choice = peers.choose({
        service,
        peers: listRelayPeers(context.clusterState, context.settings.nodeName),
        excluded: this.offeredTo,
        nowMs: context.clock.nowMs(),
      });
      if (choice.type === 'none') return this.endNotTaken(choice.reason, choice.retryInMs);
      if (this.offeredTo.size >= MAX_RELAY_TRIES) return this.endNotTaken('tries', 0);
      if (this.input.getRemainingMs() < MIN_REMAINING_TO_RELAY_MS)
        return this.endNotTaken('time', undefined);
      const { peer, evidence } = choice;
      this.offeredTo.add(peer.name);
      const startMs = context.clock.nowMs();
      const outcome = await this.offer(peer);
      const result = this.recordOutcome(peer, outcome);
      logRelayed(context, this.input.routedRequest, {
        peer,
        evidence,
        outcome,
        result,
        elapsedMs: context.clock.nowMs() - startMs,
      });
      const conclusion = this.conclude(outcome, result);
      if (conclusion !== undefined) return conclusion;
    }
    return { type: 'stopped' };
  }

  private endNotTaken(reason: RelayReason, retryInMs: number | undefined): RelayConclusion {
    logNotRelayed(this.context, this.input.routedRequest, {
      reason,
      retryInMs,
      offeredTo: this.peers,
    });
    return { type: 'not_taken', reason, retryInMs };
  }

  private async offer(peer: RelayPeer): Promise<RelayOutcome> {
    const { context } = this;
    const { routedRequest, rawHeaders, callerResponse, runs, sends, isCounted } = this.input;
    const { head, body } = routedRequest;
    const createHeaders = () =>
      encodeRelayedHeaders(rawHeaders, {
        node: context.settings.nodeName,
        limitMs: Math.max(1, Math.floor(this.input.getRemainingMs())),
        runs,
        sends,
        isCounted,
      });
    this.send = RelaySend.create(
      {
        pool: context.relaying.pool,
        clock: context.clock,
        memory: context.responseLimits.memory,
      },
      {
        peer,
        request: { method: head.method, path: head.path, createHeaders, body, isRepeat: false },
        isStream: routedRequest.route.kind === 'streaming',
        callerResponse,
        onFirstByte: this.input.onFirstByte,
      },
    );
    context.relaying.peers.recordStarted(peer.name);
    const outcome = await this.send.run();
    const wasStopped = outcome.type === 'stopped' && this.send.wasSent;
    this.hasBrokenOff ||= wasStopped || outcome.type === 'broken';
    this.send = undefined;
    context.relaying.peers.recordEnded(peer.name);
    return outcome;
  }

  private recordOutcome(peer: RelayPeer, outcome: RelayOutcome): RelayResult | undefined {
    const { relaying, clock } = this.context;
    const { service } = this.input.routedRequest;
    const result = this.classify(outcome);
    if (result !== undefined)
      relaying.peers.recordResult(peer.name, service, result, clock.nowMs());
    return result;
  }

  /** Returns what the outcome shows about the peer; undefined if it shows nothing. */
  private classify(outcome: RelayOutcome): RelayResult | undefined {
    switch (outcome.type) {
      case 'served':
        return 'carried';
      case 'replied':
        return classifyReply(outcome.reply);
      case 'broken':
        return outcome.hasResponse ? 'carried' : 'unavailable';
      case 'not_sent':
        return 'unavailable';
      case 'unmarked':
        return outcome.status === NOT_FOUND_STATUS ? 'unsupported' : 'full';
      case 'stopped':
        return undefined;
      default:
        return outcome satisfies never;
    }
  }

  /** Returns the conclusion of an outcome; undefined if another peer may take the request. */
  private conclude(
    outcome: RelayOutcome,
    result: RelayResult | undefined,
  ): RelayConclusion | undefined {
    switch (outcome.type) {
      case 'broken':
      case 'served':
      case 'stopped':
        return outcome;
      case 'replied':
        return result === 'carried' ? outcome : undefined;
      case 'not_sent':
      case 'unmarked':
        return undefined;
      default:
        return outcome satisfies never;
    }
  }
}
