import { BoundedMap, type EndpointId, type Fingerprint } from '@lovagearch/common';
import {
  CRASH_CORRELATION_MS,
  CRASH_WINDOW_MS,
  MAX_DISTINCT_CRASHES,
  MAX_ENDPOINTS,
} from './constants.js';

interface Crash {
  readonly fingerprint: Fingerprint;
  readonly atMs: number;
}

/** Recent crashes of each endpoint, each with one of its suspects. */
export class CrashHistory {
  private readonly crashes = BoundedMap.create<EndpointId, readonly Crash[]>(MAX_ENDPOINTS);

  private readonly faultyUntilMs = BoundedMap.create<EndpointId, number>(MAX_ENDPOINTS);

  static create(): CrashHistory {
    return new CrashHistory();
  }

  /**
   * Records that an endpoint crashed while running a fingerprint. Reports within 3 s of each other
   * belong to one crash.
   *
   * @returns true if the endpoint has now crashed with 3 distinct fingerprints
   */
  recordCrash(endpoint: EndpointId, fingerprint: Fingerprint, nowMs: number): boolean {
    const all = this.crashes.get(endpoint) ?? [];
    if (all.some((crash) => nowMs - crash.atMs < CRASH_CORRELATION_MS)) return false;
    const others = all.filter(
      (crash) => nowMs - crash.atMs < CRASH_WINDOW_MS && crash.fingerprint !== fingerprint,
    );
    const crashes = [...others, { fingerprint, atMs: nowMs }].slice(-MAX_DISTINCT_CRASHES);
    this.crashes.set(endpoint, crashes);
    return crashes.length >= MAX_DISTINCT_CRASHES;
  }

  /** Takes an endpoint out of rotation for a duration. */
  markFaulty(endpoint: EndpointId, nowMs: number, durationMs: number): void {
    this.crashes.delete(endpoint);
    this.faultyUntilMs.set(endpoint, nowMs + durationMs);
  }

  /** Returns the endpoints that are out of rotation, with the remaining time. */
  listFaulty(nowMs: number): { endpoint: EndpointId; remainingMs: number }[] {
    return [...this.faultyUntilMs]
      .filter(([, untilMs]) => untilMs > nowMs)
      .map(([endpoint, untilMs]) => ({ endpoint, remainingMs: untilMs - nowMs }));
  }

  /**
   * Returns whether an endpoint is out of rotation because it crashes regardless of the request.
   */
  isFaulty(endpoint: EndpointId, nowMs: number): boolean {
    return (this.faultyUntilMs.peek(endpoint) ?? -Infinity) > nowMs;
  }
}
