import { BoundedMap, getRendezvousOwners } from '@lovagearch/common';
import {
  findSuspectParts,
  MAX_CRASHES_AMONG_OTHERS,
  MAX_CRASHES_WITH_PART,
  type PartQuarantine,
} from './findSuspectParts.js';

/**
 * Time before a crash in which a completed request clears its parts, in milliseconds. A part that
 * crashes endpoints is never part of a completed request.
 */
export const COMPLETION_CREDIT_MS = 30_000;
/** Time for which a crash counts, in milliseconds. */
export const PART_CRASH_RETENTION_MS = 600_000;
/**
 * Heartbeats read after a presumed crash that prove that the endpoint is alive. Up to three that were written
 * before it may be read later.
 */
const HEARTBEATS_OF_LIVE_ENDPOINT = 4;
/**
 * Time after a crash and between two probes, in milliseconds. By then the nodes know of each other's crashes and
 * completed requests.
 */
export const PROBE_DELAY_MS = 5_000;
const MAX_TRACKED_PROBES = 256;
const MAX_CLEARED_PARTS = 1_024;
const MAX_TRACKED_CRASHES = 256;
const MAX_REQUESTS_PER_CRASH = 64;
const MAX_TRACKED_COMPLETIONS = 8_192;

/** A request that an endpoint was running or had queued when it crashed. */
export interface InterruptedRequest {
  /** Equal for repeats of the same request. */
  readonly fingerprint: string;
  /** Ids of the prompt parts that other requests may have too. */
  readonly partIds: readonly string[];
  /** Name of the node that sent the request. */
  readonly reporter: string;
}

interface Completion {
  readonly atMs: number;
  /** Whether this node completed the request; completions of other nodes are not published again. */
  readonly isLocal: boolean;
}

interface TrackedCrash {
  readonly atMs: number;
  readonly requests: Map<string, InterruptedRequest>;
  /** Heartbeat of the endpoint that was read last. */
  lastHeartbeat: number | undefined;
  /** Different heartbeats that were read since the crash. */
  heartbeatCount: number;
  isRefuted: boolean;
}

/**
 * Finds prompt parts that crash endpoints, from the crashes and completed requests that all nodes
 * report.
 *
 * @example
 * crashes.recordCrash('i-7f3a/171', { fingerprint, partIds: ['5c1e', '91bd'] }, clock.nowMs());
 * if (crashes.findQuarantine(partIds, clock.nowMs()) !== undefined) refuse('request_quarantined');
 */
export class PromptPartCrashes {
  private readonly crashes = BoundedMap.create<string, TrackedCrash>(MAX_TRACKED_CRASHES);

  private readonly completions = BoundedMap.create<string, Completion>(MAX_TRACKED_COMPLETIONS);

  /** Clock readings at the last probes, by the parts. */
  private readonly probes = BoundedMap.create<string, number>(MAX_TRACKED_PROBES);

  /**
   * Starts of endpoints whose crashes name a part of which this node knows that it is sound. The reporting nodes may
   * not know it.
   */
  private readonly clearedCrashes = BoundedMap.create<string, Set<string>>(MAX_CLEARED_PARTS);

  /** Parts that a crash names, so that most completed requests need no new evaluation. */
  private readonly namedParts = new Set<string>();

  private quarantines: readonly PartQuarantine[] = [];

  private isStale = false;

  private currentRevision = 0;

  private latestCrashMs = Number.NEGATIVE_INFINITY;

  /** Clock reading at which the oldest crash expires. */
  private nextExpiryMs = Number.POSITIVE_INFINITY;

  static create(): PromptPartCrashes {
    return new PromptPartCrashes();
  }

  /**
   * Records that an endpoint crashed with a request in flight.
   *
   * @param endpointStart identifies one start of the endpoint's process
   * @param atMs clock reading at the crash
   * @returns false if the request is no suspect or already known
   */
  recordCrash(endpointStart: string, request: InterruptedRequest, atMs: number): boolean {
    const known = this.crashes.peek(endpointStart);
    if (known?.requests.has(request.fingerprint)) return false;
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
    const { requests } = crash;
    if (requests.size >= MAX_REQUESTS_PER_CRASH) return false;
    if (this.selectSuspects(request.partIds, crash.atMs).length === 0) {
      this.recordClearedCrash(endpointStart, request.partIds);
      return false;
    }
    requests.set(request.fingerprint, request);
    if (isNew) this.crashes.set(endpointStart, crash);
    for (const partId of request.partIds) this.namedParts.add(partId);
    this.latestCrashMs = Math.max(this.latestCrashMs, crash.atMs);
    this.markChanged();
    return true;
  }

  /** Changes whenever the crashes or the parts that completed requests clear of them may have changed. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Whether a crash is recorded and neither expired nor refuted. */
  isCounted(endpointStart: string): boolean {
    return this.crashes.peek(endpointStart)?.isRefuted === false;
  }

  /** Returns the time since a recorded crash, in milliseconds; 0 if it is not recorded. */
  getCrashAgeMs(endpointStart: string, nowMs: number): number {
    return nowMs - (this.crashes.peek(endpointStart)?.atMs ?? nowMs);
  }

  /** Records that a request with these parts was completed at `atMs`, on this or another node. */
  recordCompletion(partIds: readonly string[], atMs: number, isLocal: boolean): void {
    for (const partId of partIds) {
      const knownMs = this.completions.peek(partId)?.atMs ?? Number.NEGATIVE_INFINITY;
      if (atMs <= knownMs) continue;
      this.completions.set(partId, { atMs, isLocal });
      const isAlreadyCleared = this.latestCrashMs < knownMs + COMPLETION_CREDIT_MS;
      if (this.namedParts.has(partId) && !isAlreadyCleared) this.markChanged();
    }
  }

  /** Records a heartbeat, which refutes a crash of the same start: its connections were merely reset. */
  recordHeartbeat(endpointStart: string, heartbeat: number): void {
    const crash = this.crashes.peek(endpointStart);
    if (crash === undefined || crash.isRefuted || crash.lastHeartbeat === heartbeat) return;
    crash.lastHeartbeat = heartbeat;
    crash.heartbeatCount += 1;
    if (crash.heartbeatCount < HEARTBEATS_OF_LIVE_ENDPOINT) return;
    crash.isRefuted = true;
    this.markChanged();
  }

  /** Returns the quarantine that applies to a request with these shared parts, if there is one. */
  findQuarantine(partIds: readonly string[], nowMs: number): PartQuarantine | undefined {
    return this.listQuarantines(nowMs).find((quarantine) =>
      quarantine.partIds.every((partId) => partIds.includes(partId)),
    );
  }

  /**
   * Whether a node may send one request with quarantined parts, to see whether they crash an endpoint. Without it,
   * a part that was in flight in a few crashes by chance would stay quarantined, since no request with it completes.
   * One node probes at a time, and a part that crashes endpoints is probed only until it has crashed
   * `MAX_CRASHES_AMONG_OTHERS` of them.
   */
  tryProbe(quarantine: PartQuarantine, nodeName: string, nowMs: number): boolean {
    const { crashes, lastCrashMs, partIds, reporters } = quarantine;
    const key = partIds.join(',');
    const lastProbeMs = this.probes.peek(key) ?? Number.NEGATIVE_INFINITY;
    if (crashes >= MAX_CRASHES_AMONG_OTHERS) return false;
    if (nowMs - Math.max(lastCrashMs, lastProbeMs) < PROBE_DELAY_MS) return false;
    if (getRendezvousOwners(key, reporters, 1)[0] !== nodeName) return false;
    this.probes.set(key, nowMs);
    return true;
  }

  listQuarantines(nowMs: number): readonly PartQuarantine[] {
    if (this.isStale || nowMs >= this.nextExpiryMs) this.evaluate(nowMs);
    return this.quarantines;
  }

  /** Returns the parts that no recently completed request clears. */
  selectSuspects(partIds: readonly string[], crashAtMs: number): string[] {
    return partIds.filter((partId) => !this.isCleared(partId, crashAtMs));
  }

  /**
   * Lists the parts that are named by so many crashes that one more could quarantine them, although a
   * request that this node completed clears them of all these crashes; with the time of that request.
   */
  listClearedParts(): Map<string, number> {
    const startsByPart = new Map<string, Set<string>>();
    for (const [partId, starts] of this.clearedCrashes) startsByPart.set(partId, new Set(starts));
    for (const [endpointStart, { requests }] of this.crashes) {
      for (const partId of [...requests.values()].flatMap((request) => request.partIds)) {
        const starts = startsByPart.get(partId) ?? new Set();
        startsByPart.set(partId, starts.add(endpointStart));
      }
    }
    const cleared = new Map<string, number>();
    for (const [partId, starts] of startsByPart) {
      const completion = this.completions.peek(partId);
      if (starts.size < MAX_CRASHES_WITH_PART - 1 || completion?.isLocal !== true) continue;
      if (this.isClearedOfAllCrashes(partId, completion.atMs)) cleared.set(partId, completion.atMs);
    }
    return cleared;
  }

  /** Whether a completion at `completedAtMs` clears a part of every crash that names it. */
  isClearedOfAllCrashes(partId: string, completedAtMs: number): boolean {
    for (const { atMs, requests } of this.crashes.values()) {
      if (atMs < completedAtMs + COMPLETION_CREDIT_MS) continue;
      for (const { partIds } of requests.values()) if (partIds.includes(partId)) return false;
    }
    return true;
  }

  private recordClearedCrash(endpointStart: string, partIds: readonly string[]): void {
    for (const partId of partIds) {
      const starts = this.clearedCrashes.peek(partId) ?? new Set();
      if (starts.has(endpointStart) || starts.size >= MAX_CRASHES_AMONG_OTHERS) continue;
      this.clearedCrashes.set(partId, starts.add(endpointStart));
      this.currentRevision += 1;
    }
  }

  private isCleared(partId: string, crashAtMs: number): boolean {
    const completion = this.completions.peek(partId);
    return completion !== undefined && crashAtMs < completion.atMs + COMPLETION_CREDIT_MS;
  }

  private markChanged(): void {
    this.isStale = true;
    this.currentRevision += 1;
  }

  private evaluate(nowMs: number): void {
    this.isStale = false;
    this.nextExpiryMs = Number.POSITIVE_INFINITY;
    this.namedParts.clear();
    const evidence = [];
    for (const [endpointStart, crash] of [...this.crashes]) {
      if (nowMs - crash.atMs > PART_CRASH_RETENTION_MS) {
        this.crashes.delete(endpointStart);
        continue;
      }
      this.nextExpiryMs = Math.min(this.nextExpiryMs, crash.atMs + PART_CRASH_RETENTION_MS + 1);
      const requests = [];
      for (const { fingerprint, partIds, reporter } of crash.requests.values()) {
        for (const partId of partIds) this.namedParts.add(partId);
        const suspects = this.selectSuspects(partIds, crash.atMs);
        if (suspects.length > 0) requests.push({ fingerprint, partIds: suspects, reporter });
      }
      if (!crash.isRefuted && requests.length > 0)
        evidence.push({ endpointStart, atMs: crash.atMs, requests });
    }
    this.quarantines = findSuspectParts(evidence);
  }
}
