import type { Clock } from '@lovagearch/common';
import type { MirroredRow } from '@lovagearch/mirror';
import type { WeightTargets } from '@lovagearch/rollout';
import * as z from 'zod';
import type { GatewayLog } from './gatewayLog.js';
import type { RowCodec, SharedTable } from './types.js';

/** Key prefix of the rows with the publication times of a model's weight versions. */
export const TARGET_TIMES_PREFIX = 'weights/';

/**
 * Maximum random delay before a node writes the time of a version, in milliseconds. All nodes observe the
 * publication at the same moment, and the first write makes those of the others needless.
 */
const MAX_PUBLISH_DELAY_MS = 600;

const rowSchema = z.object({
  versions: z.array(z.object({ version: z.number().int(), committedAfterMs: z.number() })),
});

export interface WeightTargetTimesDependencies {
  readonly shared: SharedTable;
  readonly rows: RowCodec;
  readonly targets: WeightTargets;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: GatewayLog;
}

/**
 * Keeps the publication times of weight versions in the shared table, on the store's clock. A node that
 * restarts would otherwise not know how long a version has been published.
 */
export class WeightTargetTimes {
  /** Newest version of each model whose time is in the shared table. */
  private readonly publishedVersions = new Map<string, number>();

  /** Clock reading at which this node writes the time of a model's newest version. */
  private readonly publishAtMs = new Map<string, number>();

  private isWriting = false;

  private constructor(private readonly dependencies: WeightTargetTimesDependencies) {}

  static create(dependencies: WeightTargetTimesDependencies): WeightTargetTimes {
    return new WeightTargetTimes(dependencies);
  }

  applyRow({ key, value }: MirroredRow): void {
    if (value === undefined || !key.startsWith(TARGET_TIMES_PREFIX)) return;
    const { rows, targets, log } = this.dependencies;
    const model = key.slice(TARGET_TIMES_PREFIX.length);
    const row = rowSchema.safeParse(rows.decodeSharedValue(value));
    if (!row.success) {
      log.logStateChange('row_rejected', { kind: 'weights', key, reason: row.error.message });
      this.publishedVersions.delete(model);
      return;
    }
    targets.recordTimes(model, row.data.versions);
    const newest = Math.max(...row.data.versions.map(({ version }) => version));
    // A write of an older state that was performed late replaces a newer row, which is then written again.
    this.publishedVersions.set(model, newest);
  }

  /** Writes the times of a model again, as the store has lost them. */
  publishAgain(model: string): void {
    this.publishedVersions.delete(model);
  }

  /** Writes the times that this node has observed and that are not in the table yet. */
  async publish(): Promise<void> {
    if (this.isWriting) return;
    const { targets } = this.dependencies;
    for (const { model, version } of targets.listTargets()) {
      const times = targets.listTimes(model);
      const isObserved = times.some((time) => time.version === version);
      if (!isObserved || version <= (this.publishedVersions.get(model) ?? -1)) {
        this.publishAtMs.delete(model);
        continue;
      }
      if (this.isDue(model)) await this.write(model, version, times);
    }
  }

  private isDue(model: string): boolean {
    const { clock, random } = this.dependencies;
    const nowMs = clock.nowMs();
    const atMs = this.publishAtMs.get(model) ?? nowMs + random() * MAX_PUBLISH_DELAY_MS;
    this.publishAtMs.set(model, atMs);
    return nowMs >= atMs;
  }

  private async write(
    model: string,
    version: number,
    versions: z.infer<typeof rowSchema>['versions'],
  ): Promise<void> {
    const { shared, log } = this.dependencies;
    this.isWriting = true;
    const isWritten = await shared.write(`${TARGET_TIMES_PREFIX}${model}`, { versions });
    this.isWriting = false;
    if (isWritten) this.publishedVersions.set(model, version);
    else log.logStateChange('weights_time_not_published', { model, version });
  }
}
