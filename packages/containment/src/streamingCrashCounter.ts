import { BoundedMap, type EndpointId, type Fingerprint } from '@lovagearch/common';
import { CRASH_CORRELATION_MS, MAX_FINGERPRINTS, QUARANTINE_MS } from './constants.js';

interface StreamingCrashes {
  readonly count: number;
  readonly endpoint: EndpointId;
  readonly atMs: number;
}

/** Counts the endpoints that crashed after a request had produced output on them. */
export class StreamingCrashCounter {
  private readonly crashes = BoundedMap.create<Fingerprint, StreamingCrashes>(MAX_FINGERPRINTS);

  static create(): StreamingCrashCounter {
    return new StreamingCrashCounter();
  }

  /**
   * Records a crash and returns the number of crashes, which is reset if no crash was recorded for
   * the duration of a quarantine.
   */
  record(fingerprint: Fingerprint, endpoint: EndpointId, nowMs: number): number {
    const known = this.crashes.peek(fingerprint);
    const isRecent = known !== undefined && nowMs - known.atMs < QUARANTINE_MS;
    const isSameCrash =
      isRecent && known.endpoint === endpoint && nowMs - known.atMs < CRASH_CORRELATION_MS;
    if (isSameCrash) return known.count;
    const count = (isRecent ? known.count : 0) + 1;
    this.crashes.set(fingerprint, { count, endpoint, atMs: nowMs });
    return count;
  }
}
