import { BoundedMap, type Fingerprint } from '@lovagearch/common';

/** Crashes of distinct endpoint processes after which a request is quarantined. */
export const MAX_CRASHES_WITHOUT_OUTPUT = 2;
/**
 * Time after the last crash for which the crashes of a request count, in milliseconds. A request
 * that crashes endpoints recurs within seconds.
 */
export const CRASH_RETENTION_MS = 60_000;
/** Fingerprints whose crashes are kept. */
const MAX_TRACKED_FINGERPRINTS = 2_048;

/** A crash of an endpoint that had started a request which had not produced output yet. */
export interface RequestCrash {
  readonly fingerprint: Fingerprint;
  /** Identifies one start of an endpoint's process. */
  readonly endpointStart: string;
}

interface RequestCrashes {
  readonly endpointStarts: Set<string>;
  lastCrashMs: number;
}

/**
 * Counts the endpoint crashes attributed to each request, as reported by all nodes. A request that
 * merely was in flight during a crash is counted once; a second crash with the same request in
 * flight is unlikely to be a coincidence.
 *
 * @example
 * if (crashes.isQuarantined(fingerprint, clock.nowMs())) return refuse('request_quarantined');
 */
export class CrashCounter {
  private readonly crashesByFingerprint = BoundedMap.create<Fingerprint, RequestCrashes>(
    MAX_TRACKED_FINGERPRINTS,
  );

  static create(): CrashCounter {
    return new CrashCounter();
  }

  /** Whether no crash is recorded, in which case fingerprints need not be computed. */
  get isEmpty(): boolean {
    return this.crashesByFingerprint.size === 0;
  }

  /** Records a crash at `atMs`; returns false if it was already known. */
  recordCrash({ fingerprint, endpointStart }: RequestCrash, atMs: number): boolean {
    const known = this.findRecent(fingerprint, atMs);
    if (known?.endpointStarts.has(endpointStart)) return false;
    const crashes = known ?? { endpointStarts: new Set<string>(), lastCrashMs: atMs };
    crashes.endpointStarts.add(endpointStart);
    crashes.lastCrashMs = Math.max(crashes.lastCrashMs, atMs);
    this.crashesByFingerprint.set(fingerprint, crashes);
    return true;
  }

  countCrashes(fingerprint: Fingerprint, nowMs: number): number {
    return this.findRecent(fingerprint, nowMs)?.endpointStarts.size ?? 0;
  }

  /** Whether a request may not be sent to any endpoint. */
  isQuarantined(fingerprint: Fingerprint, nowMs: number): boolean {
    return this.countCrashes(fingerprint, nowMs) >= MAX_CRASHES_WITHOUT_OUTPUT;
  }

  private findRecent(fingerprint: Fingerprint, nowMs: number): RequestCrashes | undefined {
    const crashes = this.crashesByFingerprint.peek(fingerprint);
    if (crashes === undefined) return undefined;
    if (nowMs - crashes.lastCrashMs <= CRASH_RETENTION_MS) return crashes;
    this.crashesByFingerprint.delete(fingerprint);
    return undefined;
  }
}
