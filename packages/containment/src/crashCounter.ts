import { BoundedMap, type Fingerprint, getRendezvousOwners } from '@lovagearch/common';

/** Crashes before its output after which a request is quarantined that alone was in flight in each of them. */
export const MAX_CRASHES_WITHOUT_OUTPUT = 2;
/** Crashes after which a request is quarantined that no other request explains. */
export const MAX_REQUEST_CRASHES = 3;
/** Crashes after which a quarantined request is not probed any more. */
export const MAX_PROBED_CRASHES = 5;
/** Time for which a crash counts, in milliseconds. */
export const CRASH_RETENTION_MS = 600_000;
/** Time after a crash and between two probes of a request that others explain as well, in milliseconds. */
export const REQUEST_PROBE_DELAY_MS = 4_000;
/** The same for a request that alone explains its crashes, which is hardly sound. */
export const SOLE_REQUEST_PROBE_DELAY_MS = 60_000;
/** Heartbeats read after a presumed crash that prove that the endpoint is alive. */
const HEARTBEATS_OF_LIVE_ENDPOINT = 4;
/** Starts of endpoints whose crashes are kept. */
const MAX_TRACKED_CRASHES = 256;
/** Requests kept for one crash. */
const MAX_REQUESTS_PER_CRASH = 256;
/** Requests whose completions or probes are kept. */
const MAX_TRACKED_FINGERPRINTS = 2_048;

/** A crash of an endpoint that had a request in flight, or had just answered it. */
export interface RequestCrash {
  readonly fingerprint: Fingerprint;
  /** Identifies one start of an endpoint's process. */
  readonly endpointStart: string;
  /** Whether the endpoint had begun to answer the request. */
  readonly hasOutput?: boolean;
}

interface InFlightRequest {
  readonly hasOutput: boolean;
  /** Nodes that sent the request to the endpoint. */
  readonly reporters: Set<string>;
}

interface TrackedCrash {
  readonly atMs: number;
  readonly requests: Map<Fingerprint, InFlightRequest>;
  lastHeartbeat: number | undefined;
  heartbeatCount: number;
  isRefuted: boolean;
}

interface RequestEvidence {
  readonly endpointStarts: Set<string>;
  readonly reporters: Set<string>;
  lastCrashMs: number;
  /** Whether no other request was in flight in any of the crashes, and none had an output. */
  isSole: boolean;
}

interface RequestQuarantine {
  readonly evidence: RequestEvidence;
  /** Whether other requests explain the same number of crashes. */
  readonly hasRivals: boolean;
}

const hasEnoughCrashes = ({ endpointStarts, isSole }: RequestEvidence): boolean =>
  endpointStarts.size >= (isSole ? MAX_CRASHES_WITHOUT_OUTPUT : MAX_REQUEST_CRASHES);

/**
 * Finds requests that crash endpoints, from the crashes that all nodes report. The request that was in flight in the
 * most crashes is taken first, and the crashes that it explains count for no other, since sound requests are in flight
 * in them as well. Where several explain as many, a probe of one of them shows which is sound.
 *
 * @example
 * if (crashes.isQuarantined(fingerprint, clock.nowMs())) return refuse('request_quarantined');
 */
export class CrashCounter {
  private readonly crashes = BoundedMap.create<string, TrackedCrash>(MAX_TRACKED_CRASHES);

  /** Clock readings at the last completions of requests that crashes name. */
  private readonly completions = BoundedMap.create<Fingerprint, number>(MAX_TRACKED_FINGERPRINTS);

  private readonly probes = BoundedMap.create<Fingerprint, number>(MAX_TRACKED_FINGERPRINTS);

  private quarantines: ReadonlyMap<Fingerprint, RequestQuarantine> = new Map();

  private isStale = false;

  /** Clock reading at which the oldest crash expires. */
  private nextExpiryMs = Number.POSITIVE_INFINITY;

  static create(): CrashCounter {
    return new CrashCounter();
  }

  /** Whether no crash is recorded, in which case fingerprints need not be computed. */
  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  /**
   * Records a crash.
   *
   * @param atMs clock reading at the crash
   * @param reporter name of the node that sent the request
   * @returns false if the request was already known to be in flight in it
   */
  recordCrash(
    { fingerprint, endpointStart, hasOutput = false }: RequestCrash,
    atMs: number,
    reporter = '',
  ): boolean {
    const known = this.crashes.peek(endpointStart);
    // An endpoint that lived on after a broken connection may still crash.
    const isNew = known === undefined || known.isRefuted;
    const crash: TrackedCrash = isNew
      ? {
          atMs,
          requests: new Map(),
          lastHeartbeat: undefined,
          heartbeatCount: 0,
          isRefuted: false,
        }
      : known;
    const inFlight = crash.requests.get(fingerprint);
    inFlight?.reporters.add(reporter);
    if (inFlight !== undefined || crash.requests.size >= MAX_REQUESTS_PER_CRASH) return false;
    crash.requests.set(fingerprint, { hasOutput, reporters: new Set([reporter]) });
    if (isNew) this.crashes.set(endpointStart, crash);
    this.nextExpiryMs = Math.min(this.nextExpiryMs, crash.atMs + CRASH_RETENTION_MS + 1);
    this.isStale = true;
    return true;
  }

  /** Whether a crash of this start is recorded that was not refuted. */
  hasCrashed(endpointStart: string): boolean {
    return this.crashes.peek(endpointStart)?.isRefuted === false;
  }

  /**
   * Records that a request was answered completely by an endpoint that lived on: it crashes none.
   *
   * @returns whether crashes name the request
   */
  recordCompletion(fingerprint: Fingerprint, atMs: number): boolean {
    const isNamed = [...this.crashes.values()].some(({ requests }) => requests.has(fingerprint));
    if (!isNamed || atMs <= (this.completions.peek(fingerprint) ?? Number.NEGATIVE_INFINITY))
      return false;
    this.completions.set(fingerprint, atMs);
    this.isStale = true;
    return true;
  }

  /** Records a heartbeat, which refutes a crash of the same start: its connections were merely closed. */
  recordHeartbeat(endpointStart: string, heartbeat: number): void {
    const crash = this.crashes.peek(endpointStart);
    if (crash === undefined || crash.isRefuted || crash.lastHeartbeat === heartbeat) return;
    crash.lastHeartbeat = heartbeat;
    crash.heartbeatCount += 1;
    if (crash.heartbeatCount < HEARTBEATS_OF_LIVE_ENDPOINT) return;
    crash.isRefuted = true;
    this.isStale = true;
  }

  /** Counts the crashes in which a request was in flight, whatever else explains them. */
  countCrashes(fingerprint: Fingerprint, nowMs: number): number {
    let count = 0;
    for (const { atMs, isRefuted, requests } of this.crashes.values()) {
      const isCounted = !isRefuted && nowMs - atMs <= CRASH_RETENTION_MS;
      if (isCounted && requests.has(fingerprint)) count += 1;
    }
    return count;
  }

  /** Whether a request may not be sent to any endpoint. */
  isQuarantined(fingerprint: Fingerprint, nowMs: number): boolean {
    if (nowMs >= this.nextExpiryMs) this.evaluate(nowMs);
    // Most requests are in no crash or one; the evidence about all others is costly to weigh.
    if (this.countCrashes(fingerprint, nowMs) < MAX_CRASHES_WITHOUT_OUTPUT) return false;
    if (this.isStale) this.evaluate(nowMs);
    return this.quarantines.has(fingerprint);
  }

  /**
   * Whether a node may send a quarantined request once, to see whether it crashes an endpoint. One that was in flight in
   * the same crashes as another would otherwise stay quarantined with it.
   */
  tryProbe(fingerprint: Fingerprint, nodeName: string, nowMs: number): boolean {
    const quarantine = this.quarantines.get(fingerprint);
    if (quarantine === undefined) return false;
    const { endpointStarts, lastCrashMs, reporters } = quarantine.evidence;
    if (endpointStarts.size >= MAX_PROBED_CRASHES) return false;
    const lastProbeMs = this.probes.peek(fingerprint) ?? Number.NEGATIVE_INFINITY;
    const delayMs = quarantine.hasRivals ? REQUEST_PROBE_DELAY_MS : SOLE_REQUEST_PROBE_DELAY_MS;
    if (nowMs - Math.max(lastCrashMs, lastProbeMs) < delayMs) return false;
    if (getRendezvousOwners(fingerprint, [...reporters], 1)[0] !== nodeName) return false;
    this.probes.set(fingerprint, nowMs);
    return true;
  }

  private evaluate(nowMs: number): void {
    this.isStale = false;
    this.nextExpiryMs = Number.POSITIVE_INFINITY;
    let unexplained = new Map<string, TrackedCrash>();
    for (const [endpointStart, crash] of [...this.crashes]) {
      if (nowMs - crash.atMs > CRASH_RETENTION_MS) {
        this.crashes.delete(endpointStart);
        continue;
      }
      this.nextExpiryMs = Math.min(this.nextExpiryMs, crash.atMs + CRASH_RETENTION_MS + 1);
      if (!crash.isRefuted) unexplained.set(endpointStart, crash);
    }
    const quarantines = new Map<Fingerprint, RequestQuarantine>();
    for (;;) {
      const suspects = [...this.collectEvidence(unexplained)].filter(([, evidence]) =>
        hasEnoughCrashes(evidence),
      );
      let mostCrashes = 0;
      for (const [, { endpointStarts }] of suspects)
        mostCrashes = Math.max(mostCrashes, endpointStarts.size);
      const explained = new Set<string>();
      const chosen = suspects.filter(
        ([, { endpointStarts }]) => endpointStarts.size === mostCrashes,
      );
      for (const [fingerprint, evidence] of chosen) {
        quarantines.set(fingerprint, { evidence, hasRivals: chosen.length > 1 });
        for (const endpointStart of evidence.endpointStarts) explained.add(endpointStart);
      }
      if (explained.size === 0) break;
      unexplained = new Map([...unexplained].filter(([start]) => !explained.has(start)));
    }
    this.quarantines = quarantines;
  }

  private collectEvidence(
    crashes: ReadonlyMap<string, TrackedCrash>,
  ): Map<Fingerprint, RequestEvidence> {
    const evidenceByFingerprint = new Map<Fingerprint, RequestEvidence>();
    for (const [endpointStart, { atMs, requests }] of crashes) {
      for (const [fingerprint, { hasOutput, reporters }] of requests) {
        if (atMs <= (this.completions.peek(fingerprint) ?? Number.NEGATIVE_INFINITY)) continue;
        const evidence = evidenceByFingerprint.get(fingerprint) ?? {
          endpointStarts: new Set(),
          reporters: new Set(),
          lastCrashMs: atMs,
          isSole: true,
        };
        evidence.endpointStarts.add(endpointStart);
        for (const reporter of reporters) evidence.reporters.add(reporter);
        evidence.lastCrashMs = Math.max(evidence.lastCrashMs, atMs);
        evidence.isSole = evidence.isSole && requests.size === 1 && !hasOutput;
        evidenceByFingerprint.set(fingerprint, evidence);
      }
    }
    return evidenceByFingerprint;
  }
}
