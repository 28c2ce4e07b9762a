import { BoundedMap } from '@lovagearch/common';
import { MAX_VERSIONED_SERVICES, MAX_VERSIONS_PER_SERVICE } from './constants.js';

/** At which software version a stream may go on. */
export type Continuation =
  /** At any: no event of the stream was sent yet. */
  | { readonly type: 'any' }
  /** At the version that began the stream. */
  | { readonly type: 'version'; readonly version: string }
  /** At none: one of several versions began the stream, and it isn't known which. */
  | { readonly type: 'unknown'; readonly versions: readonly string[] };

export interface ContinuationInput {
  /** Id of the last event that the caller has; 0 if it has none. */
  readonly lastEventId: number;
  /** Version that is known to have begun the stream. */
  readonly knownVersion: string | undefined;
  /** Versions of the service that were in use at some time in which the stream may have begun. */
  readonly possibleVersions: readonly string[];
  /** Whether a version that was in use at such a time can't be missing above. */
  readonly areVersionsKnown: boolean;
}

/**
 * Decides at which software version a stream goes on. Endpoints don't check it, and events of two versions don't fit
 * together, so that a stream whose version isn't certain goes on nowhere.
 *
 * @example
 * const continuation = decideContinuation({ ...input, lastEventId: 12, knownVersion: 'v1' });
 * if (continuation.type === 'unknown') refuse();
 */
export const decideContinuation = ({
  lastEventId,
  knownVersion,
  possibleVersions,
  areVersionsKnown,
}: ContinuationInput): Continuation => {
  if (lastEventId === 0) return { type: 'any' };
  if (knownVersion !== undefined) return { type: 'version', version: knownVersion };
  const [version, ...others] = possibleVersions;
  if (version === undefined || others.length > 0 || !areVersionsKnown)
    return { type: 'unknown', versions: possibleVersions };
  return { type: 'version', version };
};

/**
 * Times at which the software versions of each service were last in use.
 *
 * @example
 * const versions = SoftwareVersions.create();
 * versions.recordUse('app', 'v1', clock.nowMs());
 * const recent = versions.listSince('app', clock.nowMs() - 30_000);
 */
export class SoftwareVersions {
  private readonly lastUses = BoundedMap.create<string, BoundedMap<string, number>>(
    MAX_VERSIONED_SERVICES,
  );

  static create(): SoftwareVersions {
    return new SoftwareVersions();
  }

  recordUse(service: string, version: string, atMs: number): void {
    const uses =
      this.lastUses.get(service) ?? BoundedMap.create<string, number>(MAX_VERSIONS_PER_SERVICE);
    this.lastUses.set(service, uses);
    if (atMs > (uses.peek(version) ?? Number.NEGATIVE_INFINITY)) uses.set(version, atMs);
  }

  /** Lists the versions that were in use at a clock reading or later, with the last such reading. */
  listSince(service: string, sinceMs: number): [version: string, lastUseMs: number][] {
    return [...(this.lastUses.peek(service) ?? [])].filter(([, atMs]) => atMs >= sinceMs);
  }
}
