import type { Clock, Random } from '@lovagearch/common';
import type { Endpoint } from '@lovagearch/endpoints';
import type { ConnectionPool, OpeningProgress } from '@lovagearch/exchange';
import {
  EndpointLinks,
  type LinkState,
  type ObservedEndpoint,
  ProbePlan,
  type ProbeTarget,
} from '@lovagearch/reachability';
import { type Attempt, getEndpointStartKey } from '../attempt.js';
import type { ClusterState } from '../clusterState.js';
import type { GatewayLog } from '../gatewayLog.js';
import type { GatewayMetrics } from '../gatewayMetrics.js';
import { logLinkChanges, logLinkSuspicion } from './linkLog.js';

/**
 * Delay of the event loop after which requests count as waiting anew, in milliseconds: bytes that arrived in it are read
 * only afterwards.
 */
const WAIT_RESTART_DELAY_MS = 100;

type WatchedAttempt = Pick<Attempt, 'stopConnecting' | 'stopUnreachable'>;

export interface LinkMonitorDependencies {
  readonly pool: Pick<ConnectionPool, 'hasFreeConnection' | 'probe'>;
  readonly clusterState: Pick<ClusterState, 'endpoints'> & {
    readonly evacuatedZones: { readonly has: (zone: string) => boolean };
  };
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, 'recordLinkProbe' | 'setGauge'>;
}

const getEndpointId = (startKey: string): string => startKey.slice(0, startKey.lastIndexOf('/'));

/**
 * Watches the network links of this node to endpoints: collects evidence from attempts and connections, ends attempts at
 * endpoints that are out of reach, and opens connections to find out whether they are in reach again.
 *
 * @example
 * const stopWatching = links.watchAttempt(endpoint, attempt);
 * const outcome = await attempt.run();
 * stopWatching();
 */
export class LinkMonitor {
  private readonly links = EndpointLinks.create();

  private readonly probePlan: ProbePlan;

  /** Attempts in progress by endpoint start. */
  private readonly attempts = new Map<string, Set<WatchedAttempt>>();

  /** States of their links that attempts were told. */
  private readonly toldStates = new WeakMap<WatchedAttempt, LinkState['type']>();

  private isReviewScheduled = false;

  private probeTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  private constructor(private readonly dependencies: LinkMonitorDependencies) {
    this.probePlan = ProbePlan.create(dependencies.random);
  }

  static create(dependencies: LinkMonitorDependencies): LinkMonitor {
    return new LinkMonitor(dependencies);
  }

  /** Whether any endpoint is out of reach, or reached only over open connections; false on calm days. */
  get hasLost(): boolean {
    return this.links.hasLost;
  }

  /** Returns what is known of the link to an endpoint. */
  getState(endpoint: Endpoint): LinkState {
    return this.links.getState(getEndpointStartKey(endpoint));
  }

  /** Whether a connection to the endpoint can be opened, as far as is known. */
  canOpenConnections(endpoint: Endpoint): boolean {
    return !this.hasLost || this.getState(endpoint).type === 'reachable';
  }

  /** Whether the endpoint can get a request, on a new connection or else on an idle one. */
  isUsable(endpoint: Endpoint): boolean {
    if (!this.hasLost) return true;
    const startKey = getEndpointStartKey(endpoint);
    const { type } = this.links.getState(startKey);
    switch (type) {
      case 'reachable':
        return true;
      case 'refusing':
        return this.dependencies.pool.hasFreeConnection(startKey, 0);
      case 'lost':
      case 'unanswered':
        return false;
      default:
        return type satisfies never;
    }
  }

  /** Records bytes that arrived from an endpoint start. */
  recordBytes(startKey: string, service: string, nowMs: number): void {
    const wasOutOfReach = this.hasLost && this.links.getState(startKey).type !== 'reachable';
    this.links.recordBytes(startKey, service, nowMs);
    if (wasOutOfReach) this.scheduleReview();
  }

  /** Watches an attempt until the returned function is called. */
  watchAttempt(endpoint: Endpoint, attempt: WatchedAttempt): () => void {
    const startKey = getEndpointStartKey(endpoint);
    const attempts = this.attempts.get(startKey) ?? new Set();
    this.attempts.set(startKey, attempts);
    attempts.add(attempt);
    this.links.recordSent(startKey, endpoint.record.service, this.dependencies.clock.nowMs());
    return () => {
      attempts.delete(attempt);
      if (attempts.size === 0 && this.attempts.get(startKey) === attempts)
        this.attempts.delete(startKey);
      this.links.recordSettled(startKey);
    };
  }

  /** Records what becomes of an attempt to open a connection. */
  recordOpening(startKey: string, progress: OpeningProgress): void {
    const endpoint = this.findEndpoint(startKey);
    if (endpoint === undefined) return;
    const { service } = endpoint.record;
    const nowMs = this.dependencies.clock.nowMs();
    switch (progress.type) {
      case 'established':
        this.links.recordConnected(startKey, service, nowMs);
        if (!this.hasLost) return;
        if (this.links.getState(startKey).type !== 'reachable')
          this.probePlan.recordSuccess({ key: startKey, service }, nowMs);
        break;
      case 'overdue':
        this.links.recordConnectFailed(startKey, service, 'timeout', nowMs - progress.afterMs);
        break;
      case 'failed':
        this.links.recordConnectFailed(startKey, service, progress.cause, nowMs - progress.afterMs);
        this.probePlan.recordFailure(startKey);
        break;
      default:
        progress satisfies never;
    }
    this.scheduleReview();
  }

  /**
   * Looks for requests that get no bytes; called at the housekeeping interval.
   *
   * @param delayMs delay of the event loop
   */
  check(delayMs: number): void {
    const nowMs = this.dependencies.clock.nowMs();
    if (delayMs >= WAIT_RESTART_DELAY_MS) this.links.restartWaits(nowMs);
    if (this.links.size > this.dependencies.clusterState.endpoints.size) this.removeUnregistered();
    if (this.links.needsReview(nowMs)) this.review();
    this.dependencies.metrics.setGauge('unreachable_endpoints', this.links.lostCount);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.probeTimer);
  }

  /** Forgets endpoint starts that are no longer registered. */
  private removeUnregistered(): void {
    for (const startKey of this.links.listKeys())
      if (this.findEndpoint(startKey) === undefined) this.links.recordGone(startKey);
  }

  private findEndpoint(startKey: string): Endpoint | undefined {
    const { endpoints } = this.dependencies.clusterState;
    const endpoint = endpoints.findEndpoint(getEndpointId(startKey));
    return endpoint !== undefined && getEndpointStartKey(endpoint) === startKey
      ? endpoint
      : undefined;
  }

  /** Lists the endpoints that may be connected to. */
  private listObserved(): ObservedEndpoint[] {
    const { endpoints, evacuatedZones } = this.dependencies.clusterState;
    const observed: ObservedEndpoint[] = [];
    for (const endpoint of endpoints.listAll()) {
      const { record, statements } = endpoint;
      const { service, state, zone } = record;
      if (state !== 'ready' || statements.leaving.isAnnounced || evacuatedZones.has(zone)) continue;
      observed.push({
        key: getEndpointStartKey(endpoint),
        service,
        zone,
        heardElsewhereAtMs: endpoint.lastPeerResponseAtMs,
      });
    }
    return observed;
  }

  /** Failures of many connections come together. */
  private scheduleReview(): void {
    if (this.isReviewScheduled || this.isStopped) return;
    this.isReviewScheduled = true;
    setImmediate(() => {
      this.isReviewScheduled = false;
      if (!this.isStopped) this.review();
    });
  }

  private review(): void {
    const { clock, log } = this.dependencies;
    this.removeUnregistered();
    const observed = this.listObserved();
    const { changes, toVerify } = this.links.review(observed, clock.nowMs());
    if (changes.length > 0) logLinkChanges(log, changes, observed, clock.nowMs());
    for (const { endpoint, to } of changes)
      if (to.type === 'reachable') this.findEndpoint(endpoint.key)?.recordLinkRegained();
    this.stopAttempts(observed);
    for (const suspicion of toVerify) {
      logLinkSuspicion(log, suspicion);
      this.probe(suspicion.endpoint.key, 'verify');
    }
    this.probeDue(observed);
  }

  /** Ends attempts at endpoints that are out of reach, once it is known whether others of the service are as well. */
  private stopAttempts(observed: readonly ObservedEndpoint[]): void {
    if (!this.hasLost) return;
    const reachedServices = this.listReachedServices(observed);
    for (const { key, service } of observed) {
      const state = this.links.getState(key);
      const attempts = [...(this.attempts.get(key) ?? [])];
      if (state.type === 'reachable' || attempts.length === 0) continue;
      if (state.type === 'refusing') {
        for (const attempt of attempts) attempt.stopConnecting();
        continue;
      }
      // Behind a cut from all endpoints, a request that moves to the next one would only use up its attempts.
      const isScopeKnown =
        !reachedServices.has(service) || this.links.hasHeardSince(service, state.sinceMs);
      if (!isScopeKnown) continue;
      for (const attempt of attempts) {
        if (this.toldStates.get(attempt) === state.type) continue;
        this.toldStates.set(attempt, state.type);
        attempt.stopUnreachable(state.type === 'lost');
      }
    }
  }

  private listReachedServices(observed: readonly ObservedEndpoint[]): Set<string> {
    const services = new Set<string>();
    for (const { key, service } of observed)
      if (this.links.getState(key).type === 'reachable') services.add(service);
    return services;
  }

  private probeDue(observed: readonly ObservedEndpoint[]): void {
    clearTimeout(this.probeTimer);
    const { clock } = this.dependencies;
    for (const { key } of this.probePlan.selectDue(this.listTargets(observed), clock.nowMs()))
      this.probe(key, 'regain');
    const { nextAtMs } = this.probePlan;
    if (this.isStopped || !Number.isFinite(nextAtMs)) return;
    const delayMs = Math.max(1, nextAtMs - clock.nowMs());
    this.probeTimer = setTimeout(() => this.probeDue(this.listObserved()), delayMs);
    this.probeTimer.unref();
  }

  private listTargets(observed: readonly ObservedEndpoint[]): ProbeTarget[] {
    if (!this.hasLost) return [];
    const getType = ({ key }: ObservedEndpoint): LinkState['type'] => this.links.getState(key).type;
    const reachedServices = this.listReachedServices(observed);
    const targets: ProbeTarget[] = [];
    for (const endpoint of observed) {
      const { key, service } = endpoint;
      const type = getType(endpoint);
      if (type === 'reachable') continue;
      const mayHaveEnded = type === 'unanswered' && reachedServices.has(service);
      targets.push({ key, service, mayHaveEnded });
    }
    return targets;
  }

  private probe(startKey: string, purpose: 'regain' | 'verify'): void {
    const endpoint = this.findEndpoint(startKey);
    if (endpoint === undefined) return;
    const { address, service } = endpoint.record;
    this.dependencies.pool
      .probe(startKey, address)
      .then((result) => this.dependencies.metrics.recordLinkProbe(service, purpose, result))
      .catch(() => this.dependencies.metrics.recordLinkProbe(service, purpose, 'failed'));
  }
}
