import { BoundedMap, type EndpointId, type Fingerprint } from '@lovagearch/common';
import {
  MAX_ENDPOINTS,
  MAX_RUNNING_PER_ENDPOINT,
  MAX_SUSPECTS_PER_CRASH,
  TRIAL_MAX_MS,
} from './constants.js';

interface RunningRequest {
  readonly count: number;
  readonly isTrial: boolean;
  /** Whether every run of the request has produced output. */
  readonly hasOutput: boolean;
}

interface RemoteTrial {
  readonly fingerprint: Fingerprint;
  readonly untilMs: number;
}

/** Requests that this node runs on each endpoint, and trials reported by other nodes. */
export class RunningRequests {
  private readonly byEndpoint = new Map<EndpointId, Map<Fingerprint, RunningRequest>>();

  private readonly remoteTrials = BoundedMap.create<EndpointId, RemoteTrial>(MAX_ENDPOINTS);

  static create(): RunningRequests {
    return new RunningRequests();
  }

  add(endpoint: EndpointId, fingerprint: Fingerprint, isTrial: boolean): void {
    const running = this.byEndpoint.get(endpoint) ?? new Map<Fingerprint, RunningRequest>();
    if (!this.byEndpoint.has(endpoint) && this.byEndpoint.size >= MAX_ENDPOINTS) return;
    if (!running.has(fingerprint) && running.size >= MAX_RUNNING_PER_ENDPOINT) return;
    const known = running.get(fingerprint);
    running.set(fingerprint, {
      count: (known?.count ?? 0) + 1,
      isTrial: isTrial || (known?.isTrial ?? false),
      hasOutput: false,
    });
    this.byEndpoint.set(endpoint, running);
  }

  /**
   * Records that a request has produced output on an endpoint. Ignored while several runs have the
   * same fingerprint, since the output does not tell which of them it belongs to.
   */
  markOutput(endpoint: EndpointId, fingerprint: Fingerprint): void {
    const running = this.byEndpoint.get(endpoint);
    const known = running?.get(fingerprint);
    if (known?.count === 1) running?.set(fingerprint, { ...known, hasOutput: true });
  }

  /** Returns whether a request has produced output on an endpoint. */
  hasOutput(endpoint: EndpointId, fingerprint: Fingerprint): boolean {
    return this.byEndpoint.get(endpoint)?.get(fingerprint)?.hasOutput ?? false;
  }

  /** Removes one run and returns whether it was a trial. */
  remove(endpoint: EndpointId, fingerprint: Fingerprint): boolean {
    const running = this.byEndpoint.get(endpoint);
    const known = running?.get(fingerprint);
    if (running === undefined || known === undefined) return false;
    if (known.count > 1) running.set(fingerprint, { ...known, count: known.count - 1 });
    else running.delete(fingerprint);
    if (running.size === 0) this.byEndpoint.delete(endpoint);
    return known.isTrial;
  }

  /** Returns the fingerprints on an endpoint that have not produced output yet, newest first. */
  listWithoutOutput(endpoint: EndpointId): Fingerprint[] {
    const running = [...(this.byEndpoint.get(endpoint) ?? [])].reverse();
    return running
      .filter(([, { hasOutput }]) => !hasOutput)
      .map(([fingerprint]) => fingerprint)
      .slice(0, MAX_SUSPECTS_PER_CRASH);
  }

  /** Returns the suspects whose trials this node runs on an endpoint. */
  listTrials(endpoint: EndpointId): Fingerprint[] {
    const running = this.byEndpoint.get(endpoint) ?? new Map<Fingerprint, RunningRequest>();
    return [...running].filter(([, { isTrial }]) => isTrial).map(([fingerprint]) => fingerprint);
  }

  /** Records that another node has started or ended a trial. */
  updateRemoteTrial(
    endpoint: EndpointId,
    fingerprint: Fingerprint,
    isRunning: boolean,
    nowMs: number,
  ): void {
    if (isRunning) this.remoteTrials.set(endpoint, { fingerprint, untilMs: nowMs + TRIAL_MAX_MS });
    else if (this.remoteTrials.peek(endpoint)?.fingerprint === fingerprint) {
      this.remoteTrials.delete(endpoint);
    }
  }

  /** Returns whether any node is known to run a trial on an endpoint. */
  hasTrial(endpoint: EndpointId, nowMs: number): boolean {
    if (this.listTrials(endpoint).length > 0) return true;
    return (this.remoteTrials.peek(endpoint)?.untilMs ?? -Infinity) > nowMs;
  }
}
