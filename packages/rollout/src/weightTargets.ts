import type { WeightTarget } from './types.js';

/** Versions kept for each model; an endpoint that is further behind is out of service in any case. */
const MAX_VERSIONS_PER_MODEL = 8;

/** A version and a reading of the store's clock after which it was published, in milliseconds. */
export interface VersionTime {
  readonly version: number;
  readonly committedAfterMs: number;
}

/** A reading of the store's clock after which a version was published, as a node observed or as assumed. */
export interface Publication {
  readonly type: 'assumed' | 'observed';
  readonly committedAfterMs: number;
}

/** The published versions of one model's weights. */
interface ModelTargets {
  newestVersion: number;
  readonly publications: Map<number, Publication>;
}

const recordPublication = (
  { publications }: ModelTargets,
  version: number,
  publication: Publication,
): void => {
  const known = publications.get(version);
  if (known?.type === 'observed') {
    if (publication.type === 'assumed') return;
    // Each bound holds by itself, so the later one is the closer one.
    if (known.committedAfterMs >= publication.committedAfterMs) return;
  }
  publications.set(version, publication);
  if (publications.size > MAX_VERSIONS_PER_MODEL)
    publications.delete(Math.min(...publications.keys()));
};

/**
 * The weight versions that operators published, with their ages on the store's clock. Each version has a time
 * limit of its own, which a newer version doesn't extend, so the versions before the newest are kept too.
 *
 * @example
 * const targets = WeightTargets.create(10_000);
 * targets.recordTarget({ model: 'm0', version: 2 }, { type: 'observed', committedAfterMs: storeMs });
 * if (targets.getRemainingMs('m0', 1, storeClock.nowMs()) <= 0) excludeEndpoint();
 */
export class WeightTargets {
  private readonly byModel = new Map<string, ModelTargets>();

  private constructor(private readonly limitMs: number) {}

  /** @param limitMs time after its publication at which a version has to be in use, in milliseconds */
  static create(limitMs: number): WeightTargets {
    return new WeightTargets(limitMs);
  }

  /**
   * Records a version that an operator published.
   *
   * @returns whether the version is newer than those known
   */
  recordTarget({ model, version }: WeightTarget, publication: Publication): boolean {
    const targets = this.ensureModel(model);
    if (version <= targets.newestVersion) return false;
    targets.newestVersion = version;
    recordPublication(targets, version, publication);
    return true;
  }

  /** Records the times of versions that another node, or an earlier start of this one, has observed. */
  recordTimes(model: string, times: readonly VersionTime[]): void {
    const targets = this.ensureModel(model);
    for (const { version, committedAfterMs } of times)
      recordPublication(targets, version, { type: 'observed', committedAfterMs });
  }

  /** Returns the newest version of each model. */
  listTargets(): WeightTarget[] {
    const targets: WeightTarget[] = [];
    for (const model of this.byModel.keys()) {
      const target = this.findTarget(model);
      if (target !== undefined) targets.push(target);
    }
    return targets;
  }

  findTarget(model: string): WeightTarget | undefined {
    const version = this.byModel.get(model)?.newestVersion ?? -1;
    return version < 0 ? undefined : { model, version };
  }

  /** Returns the versions of a model whose publication a node has observed. */
  listTimes(model: string): VersionTime[] {
    const times: VersionTime[] = [];
    for (const [version, publication] of this.byModel.get(model)?.publications ?? []) {
      const { type, committedAfterMs } = publication;
      if (type === 'observed') times.push({ version, committedAfterMs });
    }
    return times;
  }

  /**
   * Returns the time for which requests may still start on a version, in milliseconds: infinite for the newest
   * one, negative if a newer one is overdue.
   *
   * @param storeNowMs reading of the store's clock; undefined if it is not known
   */
  getRemainingMs(model: string, version: number, storeNowMs: number | undefined): number {
    const targets = this.byModel.get(model);
    if (targets === undefined) return Number.POSITIVE_INFINITY;
    let remainingMs = Number.POSITIVE_INFINITY;
    for (const [published, { committedAfterMs }] of targets.publications) {
      // Another node may have observed a version that this one hasn't read yet.
      if (published <= version || published > targets.newestVersion) continue;
      if (storeNowMs === undefined) return Number.NEGATIVE_INFINITY;
      remainingMs = Math.min(remainingMs, committedAfterMs + this.limitMs - storeNowMs);
    }
    return remainingMs;
  }

  private ensureModel(model: string): ModelTargets {
    const known = this.byModel.get(model);
    if (known !== undefined) return known;
    const created = { newestVersion: -1, publications: new Map<number, Publication>() };
    this.byModel.set(model, created);
    return created;
  }
}
