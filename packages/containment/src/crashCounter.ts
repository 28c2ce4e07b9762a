import { BoundedMap, type Fingerprint } from '@lovagearch/common';

/** Crashes of distinct endpoint starts after which a request is not sent to another endpoint. */
export const MAX_CRASHES_WITHOUT_OUTPUT = 2;
/** Time for which a strike counts, in milliseconds; a crashing request comes again within seconds. */
export const CRASH_RETENTION_MS = 60_000;
/** Fingerprints that are kept. */
const MAX_TRACKED_FINGERPRINTS = 2_048;

/** A crash of an endpoint while it had begun a request that had produced nothing. */
export interface RequestCrash {
  readonly fingerprint: Fingerprint;
  /** Names one start of an endpoint. */
  readonly endpointStart: string;
}

interface RequestCrashes {
  readonly endpointStarts: Set<string>;
  lastCrashMs: number;
}

/**
 * Counts the endpoints that crashed under each request, from all nodes. Requests that were in flight at
 * one crash by chance get one strike; a second crash under the same request is unlikely to be chance.
 *
 * @example
 * if (ledger.isQuarantined(fingerprint, clock.nowMs())) return refuse('request_quarantined');
 */
export class CrashCounter {
  private readonly crashesByFingerprint = BoundedMap.create<Fingerprint, RequestCrashes>(
    MAX_TRACKED_FINGERPRINTS,
  );

  static create(): CrashCounter {
    return new CrashCounter();
  }

  /** Whether there is anything to look up, which saves computing fingerprints. */
  get isEmpty(): boolean {
    return this.crashesByFingerprint.size === 0;
  }

  /** Records a strike; returns false if it was known. */
  recordCrash({ fingerprint, endpointStart }: RequestCrash, nowMs: number): boolean {
    const known = this.findRecent(fingerprint, nowMs);
    if (known?.endpointStarts.has(endpointStart)) return false;
    const struck = known ?? { endpointStarts: new Set<string>(), lastCrashMs: nowMs };
    struck.endpointStarts.add(endpointStart);
    struck.lastCrashMs = nowMs;
    this.crashesByFingerprint.set(fingerprint, struck);
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
    const struck = this.crashesByFingerprint.peek(fingerprint);
    if (struck === undefined) return undefined;
    if (nowMs - struck.lastCrashMs <= CRASH_RETENTION_MS) return struck;
    this.crashesByFingerprint.delete(fingerprint);
    return undefined;
  }
}
