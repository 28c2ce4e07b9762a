import { BoundedMap, type Clock } from '@lovagearch/common';
import {
  type InterruptedRequest,
  PART_CRASH_RETENTION_MS,
  type PartQuarantine,
  PromptPartCrashes,
} from '@lovagearch/containment';
import type { MirroredRow, StoreClock } from '@lovagearch/mirror';
import * as z from 'zod';
import {
  MAX_FAULT_REASON_LENGTH,
  MAX_PUBLISHED_COMPLETIONS,
  MAX_PUBLISHED_CRASH_BYTES,
  MAX_PUBLISHED_CRASHES,
  MAX_PUBLISHED_REQUESTS_PER_CRASH,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import { computeAgeMs, listStoreTimes } from './storeTime.js';
import type { RowCodec, SharedTable } from './types.js';

/** Key prefix of the rows in which each node publishes the crashes that it has seen. */
export const CRASHES_PREFIX = 'crashes/';

const requestSchema = z.tuple([z.string(), z.array(z.string())]);
const rowSchema = z.object({
  /** Start of the endpoint, its requests, and the reading of the store's clock at the crash, if it was known. */
  crashes: z.array(z.tuple([z.string(), z.array(requestSchema)]).rest(z.number())),
  /** Parts of completed requests, with the time from then to the write of the row in milliseconds. */
  completed: z.array(z.tuple([z.string(), z.number()])),
  writtenAtStoreMs: z.number().optional(),
});
type CrashesRow = z.infer<typeof rowSchema>;

export interface PromptPartContainmentDependencies {
  readonly nodeName: string;
  readonly shared: SharedTable;
  readonly rows: RowCodec;
  readonly clock: Clock;
  /** Dates crashes, as the clock of this process means nothing to other nodes and later starts. */
  readonly storeClock?: StoreClock;
  readonly log: GatewayLog;
}

/**
 * Quarantines prompt parts that crash endpoints. Nodes exchange crashes through the shared table, as
 * each of them sees only some; the rows also survive restarts.
 */
export class PromptPartContainment {
  private readonly crashes = PromptPartCrashes.create();

  /** The crashes in this node's row, by start of the endpoint. */
  private readonly published = BoundedMap.create<string, Map<string, readonly string[]>>(
    MAX_PUBLISHED_CRASHES,
  );

  /** Times of the completions in this node's row, by part. */
  private publishedCompletions = new Map<string, number>();

  private hasUnpublishedCrashes = false;

  /** Revision of the crashes at which nothing was left to publish. */
  private publishedRevision = 0;

  private isWriting = false;

  private loggedQuarantines = new Map<string, PartQuarantine>();

  private constructor(private readonly dependencies: PromptPartContainmentDependencies) {}

  static create(dependencies: PromptPartContainmentDependencies): PromptPartContainment {
    return new PromptPartContainment(dependencies);
  }

  /** Records that an endpoint broke off a request, presumably because it crashed. */
  recordInterruption(
    endpointStart: string,
    { fingerprint, partIds }: Omit<InterruptedRequest, 'reporter'>,
  ): void {
    const { clock, nodeName: reporter } = this.dependencies;
    const nowMs = clock.nowMs();
    const suspects = {
      fingerprint,
      partIds: this.crashes.selectSuspects(partIds, nowMs),
      reporter,
    };
    if (!this.crashes.recordCrash(endpointStart, suspects, nowMs)) return;
    if (this.addPublished(endpointStart, suspects)) this.hasUnpublishedCrashes = true;
  }

  /** Records that a request with these shared parts got a complete response. */
  recordCompletion(partIds: readonly string[]): void {
    this.crashes.recordCompletion(partIds, this.dependencies.clock.nowMs(), true);
  }

  recordHeartbeat(endpointStart: string, heartbeat: number): void {
    this.crashes.recordHeartbeat(endpointStart, heartbeat);
  }

  findQuarantine(partIds: readonly string[]): PartQuarantine | undefined {
    return this.crashes.findQuarantine(partIds, this.dependencies.clock.nowMs());
  }

  /**
   * Returns the quarantine that forbids sending a new request with these shared parts, if there is one. Now and then
   * one request passes, as a completed one ends the quarantine.
   */
  checkRequest(partIds: readonly string[]): PartQuarantine | undefined {
    const quarantine = this.findQuarantine(partIds);
    const { clock, log, nodeName } = this.dependencies;
    if (quarantine === undefined) return undefined;
    if (!this.crashes.tryProbe(quarantine, nodeName, clock.nowMs())) return quarantine;
    const { crashes } = quarantine;
    log.logStateChange('prompt_part_probed', { partIds: quarantine.partIds, crashes });
    return undefined;
  }

  /** Applies the row of a node. This node's own row holds what it published before a restart. */
  applyRow({ key, value }: MirroredRow): void {
    if (value === undefined || !key.startsWith(CRASHES_PREFIX)) return;
    const { rows, clock, storeClock, log, nodeName } = this.dependencies;
    const row = rowSchema.safeParse(rows.decodeSharedValue(value));
    if (!row.success) {
      const reason = row.error.message.slice(0, MAX_FAULT_REASON_LENGTH);
      log.logStateChange('row_rejected', { kind: 'crashes', key, reason });
      return;
    }
    const nowMs = clock.nowMs();
    const reporter = key.slice(CRASHES_PREFIX.length);
    const isOwn = reporter === nodeName;
    const rowAgeMs = computeAgeMs(storeClock, row.data.writtenAtStoreMs);
    for (const [partId, ageMs] of row.data.completed)
      this.crashes.recordCompletion([partId], nowMs - rowAgeMs - Math.max(0, ageMs), false);
    for (const [endpointStart, requests, atStoreMs] of row.data.crashes) {
      const crashAgeMs = computeAgeMs(storeClock, atStoreMs);
      if (crashAgeMs > PART_CRASH_RETENTION_MS) continue;
      for (const [fingerprint, partIds] of requests) {
        const request = { fingerprint, partIds, reporter };
        this.crashes.recordCrash(endpointStart, request, nowMs - crashAgeMs);
        if (isOwn) this.addPublished(endpointStart, request);
      }
    }
  }

  /** Logs quarantines that began or ended; returns the number of those in force. */
  logChanges(): number {
    const { clock, log } = this.dependencies;
    const current = new Map(
      this.crashes
        .listQuarantines(clock.nowMs())
        .map((quarantine) => [quarantine.partIds.join(','), quarantine]),
    );
    for (const [key, { partIds, crashes }] of current) {
      if (!this.loggedQuarantines.has(key))
        log.logStateChange('prompt_part_quarantined', { partIds, crashes });
    }
    for (const [key, { partIds }] of this.loggedQuarantines) {
      if (!current.has(key)) log.logStateChange('prompt_part_released', { partIds });
    }
    this.loggedQuarantines = current;
    return current.size;
  }

  /** Lets the next publication write what this node has published, as the store has lost it. */
  publishAgain(): void {
    if (this.published.size > 0 || this.publishedCompletions.size > 0)
      this.hasUnpublishedCrashes = true;
  }

  /**
   * Writes this node's row if it has new crashes, or a completed request that clears a part which
   * another node reported. A failed write is repeated by the next call.
   */
  async publish(): Promise<void> {
    const { revision } = this.crashes;
    if (this.isWriting || (revision === this.publishedRevision && !this.hasUnpublishedCrashes))
      return;
    const cleared = this.crashes.listClearedParts();
    const hasNewCompletion = [...cleared.keys()].some((partId) => {
      const publishedAtMs = this.publishedCompletions.get(partId);
      return (
        publishedAtMs === undefined || !this.crashes.isClearedOfAllCrashes(partId, publishedAtMs)
      );
    });
    if (!this.hasUnpublishedCrashes && !hasNewCompletion) {
      this.publishedRevision = revision;
      return;
    }
    const { shared, nodeName, log } = this.dependencies;
    this.isWriting = true;
    this.hasUnpublishedCrashes = false;
    const isWritten = await shared.write(`${CRASHES_PREFIX}${nodeName}`, this.createRow(cleared));
    this.isWriting = false;
    if (isWritten) {
      this.publishedCompletions = cleared;
      this.publishedRevision = revision;
      return;
    }
    this.hasUnpublishedCrashes = true;
    log.logStateChange('crashes_not_published', { crashes: this.published.size });
  }

  private addPublished(
    endpointStart: string,
    { fingerprint, partIds }: InterruptedRequest,
  ): boolean {
    const requests = this.published.peek(endpointStart) ?? new Map<string, readonly string[]>();
    if (requests.has(fingerprint) || requests.size >= MAX_PUBLISHED_REQUESTS_PER_CRASH)
      return false;
    requests.set(fingerprint, partIds);
    if (requests.size === 1) this.published.set(endpointStart, requests);
    return true;
  }

  /** Creates the row with the newest crashes that fit. */
  private createRow(cleared: ReadonlyMap<string, number>): CrashesRow {
    const { clock, storeClock } = this.dependencies;
    const nowMs = clock.nowMs();
    const crashes: CrashesRow['crashes'] = [];
    let bytes = 0;
    for (const [endpointStart, requests] of [...this.published].reverse()) {
      if (!this.crashes.isCounted(endpointStart)) {
        // Other nodes would count a crash that has expired as a new one.
        this.published.delete(endpointStart);
        continue;
      }
      const entry: CrashesRow['crashes'][number] = [
        endpointStart,
        [...requests].map(([fingerprint, partIds]) => [fingerprint, [...partIds]]),
        ...listStoreTimes(storeClock, this.crashes.getCrashAgeMs(endpointStart, nowMs)),
      ];
      bytes += JSON.stringify(entry).length;
      if (bytes > MAX_PUBLISHED_CRASH_BYTES) break;
      crashes.push(entry);
    }
    const completed: CrashesRow['completed'] = [...cleared]
      .slice(0, MAX_PUBLISHED_COMPLETIONS)
      .map(([partId, atMs]) => [partId, Math.round(nowMs - atMs)]);
    const [writtenAtStoreMs] = listStoreTimes(storeClock, 0);
    return writtenAtStoreMs === undefined
      ? { crashes, completed }
      : { crashes, completed, writtenAtStoreMs };
  }
}
