import { BoundedMap } from '@lovagearch/common';
import { MAX_VERSIONED_SERVICES, MAX_VERSIONS_PER_SERVICE } from './constants.js';

/** Span of clock readings, in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A software version, from its first to its last use. Without a record of its first use, the span has no start. */
export interface VersionUse extends TimeSpan {
  readonly version: string;
}

/** Why it isn't certain which software version began a stream. */
export type UnknownVersionReason =
  /** A version that was in use when the stream may have begun may be missing. */
  | 'incomplete'
  /** Several versions were in use when the stream may have begun. */
  | 'several'
  /** The stream can't have begun in the service, as far as this node knows. */
  | 'none';

/** At which software version a stream may go on. */
export type Continuation =
  /** At any: no event of the stream was sent yet. */
  | { readonly type: 'any' }
  /** At the version that began the stream. */
  | { readonly type: 'version'; readonly version: string }
  /** At none, as it isn't certain which version began the stream. */
  | {
      readonly type: 'unknown';
      readonly reason: UnknownVersionReason;
      readonly versions: readonly string[];
    };

export interface ContinuationInput {
  /** Id of the last event that the caller has; 0 if it has none. */
  readonly lastEventId: number;
  /** Version that is known to have begun the stream. */
  readonly knownVersion: string | undefined;
  /** Uses of the versions of the service. */
  readonly uses: readonly VersionUse[];
  /** Span in which no use can be missing above. */
  readonly complete: TimeSpan;
  /** Span in which the stream has begun; one that ends before it starts if there is no such time. */
  readonly begin: TimeSpan;
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
  uses,
  complete,
  begin,
}: ContinuationInput): Continuation => {
  if (lastEventId === 0) return { type: 'any' };
  if (knownVersion !== undefined) return { type: 'version', version: knownVersion };
  const versions = uses
    .filter(({ fromMs, untilMs }) => fromMs <= begin.untilMs && untilMs >= begin.fromMs)
    .map(({ version }) => version);
  if (complete.fromMs > begin.fromMs || complete.untilMs < begin.untilMs)
    return { type: 'unknown', reason: 'incomplete', versions };
  const [version, ...others] = versions;
  if (version === undefined || begin.fromMs > begin.untilMs)
    return { type: 'unknown', reason: 'none', versions };
  if (others.length > 0) return { type: 'unknown', reason: 'several', versions };
  return { type: 'version', version };
};

/**
 * Times at which the software versions of each service were in use.
 *
 * @example
 * const versions = SoftwareVersions.create();
 * versions.recordUse('app', 'v1', clock.nowMs());
 * const recent = versions.listSince('app', clock.nowMs() - 30_000);
 */
export class SoftwareVersions {
  private readonly uses = BoundedMap.create<string, BoundedMap<string, TimeSpan>>(
    MAX_VERSIONED_SERVICES,
  );

  static create(): SoftwareVersions {
    return new SoftwareVersions();
  }

  /** Records that a version was in use at a clock reading; endpoints may have had it before they were seen. */
  recordUse(service: string, version: string, atMs: number): void {
    const known = this.findSpan(service, version);
    this.setSpan(service, version, {
      fromMs: known?.fromMs ?? Number.NEGATIVE_INFINITY,
      untilMs: Math.max(atMs, known?.untilMs ?? atMs),
    });
  }

  /** Records when a version came into use, according to a node that has seen it first. */
  recordFirstUse(service: string, version: string, firstUseMs: number): void {
    const known = this.findSpan(service, version);
    const isRecorded = known !== undefined && Number.isFinite(known.fromMs);
    this.setSpan(service, version, {
      fromMs: isRecorded ? Math.min(known.fromMs, firstUseMs) : firstUseMs,
      untilMs: Math.max(firstUseMs, known?.untilMs ?? firstUseMs),
    });
  }

  /** Lists the versions that were in use at a clock reading or later. */
  listSince(service: string, sinceMs: number): VersionUse[] {
    return [...(this.uses.peek(service) ?? [])]
      .filter(([, { untilMs }]) => untilMs >= sinceMs)
      .map(([version, span]) => ({ version, ...span }));
  }

  private findSpan(service: string, version: string): TimeSpan | undefined {
    return this.uses.peek(service)?.peek(version);
  }

  private setSpan(service: string, version: string, span: TimeSpan): void {
    const uses =
      this.uses.get(service) ?? BoundedMap.create<string, TimeSpan>(MAX_VERSIONS_PER_SERVICE);
    this.uses.set(service, uses);
    uses.set(version, span);
  }
}
