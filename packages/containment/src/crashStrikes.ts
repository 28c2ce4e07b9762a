import { BoundedMap, type EndpointId, type Fingerprint } from '@lovagearch/common';
import { CRASH_JOIN_MS, MAX_FINGERPRINTS, QUARANTINE_MS } from './constants.js';

interface Strike {
  readonly count: number;
  readonly endpoint: EndpointId;
  readonly atMs: number;
}

/** Counts the endpoints that died while a request was producing text on them. */
export class CrashStrikes {
  private readonly strikes = BoundedMap.create<Fingerprint, Strike>(MAX_FINGERPRINTS);

  static create(): CrashStrikes {
    return new CrashStrikes();
  }

  /** Records a crash and returns the number of crashes within the time of a quarantine. */
  record(fingerprint: Fingerprint, endpoint: EndpointId, nowMs: number): number {
    const known = this.strikes.peek(fingerprint);
    const isRecent = known !== undefined && nowMs - known.atMs < QUARANTINE_MS;
    const isSameCrash =
      isRecent && known.endpoint === endpoint && nowMs - known.atMs < CRASH_JOIN_MS;
    if (isSameCrash) return known.count;
    const count = (isRecent ? known.count : 0) + 1;
    this.strikes.set(fingerprint, { count, endpoint, atMs: nowMs });
    return count;
  }
}
