import { BoundedMap, type Fingerprint } from '@lovagearch/common';

/** Crashes of distinct endpoint starts after which a request is not sent to another endpoint. */
export const MAX_STRIKES = 2;
/** Time for which a strike counts, in milliseconds; a crashing request comes again within seconds. */
export const STRIKE_MEMORY_MS = 60_000;
/** Fingerprints that are kept. */
const MAX_STRUCK_FINGERPRINTS = 2_048;

/** A crash of an endpoint while it had begun a request that had produced nothing. */
export interface Strike {
  readonly fingerprint: Fingerprint;
  /** Names one start of an endpoint. */
  readonly endpointStart: string;
}

interface StruckRequest {
  readonly endpointStarts: Set<string>;
  lastMs: number;
}

/**
 * Counts the endpoints that crashed under each request, from all nodes. Requests that were in flight at
 * one crash by chance get one strike; a second crash under the same request is unlikely to be chance.
 *
 * @example
 * if (ledger.isQuarantined(fingerprint, clock.nowMs())) return refuse('request_quarantined');
 */
export class StrikeLedger {
  private readonly struck = BoundedMap.create<Fingerprint, StruckRequest>(MAX_STRUCK_FINGERPRINTS);

  static create(): StrikeLedger {
    return new StrikeLedger();
  }

  /** Whether there is anything to look up, which saves computing fingerprints. */
  get isEmpty(): boolean {
    return this.struck.size === 0;
  }

  /** Records a strike; returns false if it was known. */
  recordStrike({ fingerprint, endpointStart }: Strike, nowMs: number): boolean {
    const known = this.findRecent(fingerprint, nowMs);
    if (known?.endpointStarts.has(endpointStart)) return false;
    const struck = known ?? { endpointStarts: new Set<string>(), lastMs: nowMs };
    struck.endpointStarts.add(endpointStart);
    struck.lastMs = nowMs;
    this.struck.set(fingerprint, struck);
    return true;
  }

  countStrikes(fingerprint: Fingerprint, nowMs: number): number {
    return this.findRecent(fingerprint, nowMs)?.endpointStarts.size ?? 0;
  }

  /** Whether a request may not be sent to any endpoint. */
  isQuarantined(fingerprint: Fingerprint, nowMs: number): boolean {
    return this.countStrikes(fingerprint, nowMs) >= MAX_STRIKES;
  }

  private findRecent(fingerprint: Fingerprint, nowMs: number): StruckRequest | undefined {
    const struck = this.struck.peek(fingerprint);
    if (struck === undefined) return undefined;
    if (nowMs - struck.lastMs <= STRIKE_MEMORY_MS) return struck;
    this.struck.delete(fingerprint);
    return undefined;
  }
}
