import { createHash } from 'node:crypto';
import { BoundedMap, type Clock, type Fingerprint, toId } from '@lovagearch/common';
import { CRASH_RETENTION_MS, type CrashCounter, type RequestCrash } from '@lovagearch/containment';
import type { MirroredRow, StoreClock } from '@lovagearch/mirror';
import * as z from 'zod';
import {
  MAX_FAULT_REASON_LENGTH,
  MAX_PUBLISHED_ANSWERS,
  MAX_PUBLISHED_STRIKES,
  MAX_SEPARATE_CRASHES,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import {
  computeStartId,
  FINGERPRINT_LENGTH,
  type PackedStrike,
  packStrikes,
  unpackStrikes,
} from './packedStrikes.js';
import { computeAgeMs, listStoreTimes } from './storeTime.js';
import type { RowCodec, SharedTable } from './types.js';

/** Key prefix of the rows in which each node publishes its strikes. */
export const STRIKES_PREFIX = 'strikes/';

/**
 * Fingerprint, start of the endpoint, the reading of the store's clock at the crash, if it was known, and 1 if the
 * endpoint had begun to answer.
 */
const strikeSchema = z.tuple([z.string(), z.string()]).rest(z.number());
/** Fingerprint of a request that was answered completely, and the reading of the store's clock then. */
const answerSchema = z.tuple([z.string(), z.number()]);
const rowSchema = z.object({
  strikes: z.array(strikeSchema),
  /** Strikes of endpoints that had begun to answer; see `packStrikes`. A node of an earlier release has them above. */
  answered: z.string().default(''),
  /** Reading of the store's clock at the ages of `answered`, if it was known. */
  writtenAtStoreMs: z.number().optional(),
  answers: z.array(answerSchema).default([]),
});

/** Flag of a strike whose endpoint had begun to answer. */
const HAS_OUTPUT = 1;

interface PublishedStrike {
  readonly fingerprint: Fingerprint;
  readonly startId: string;
  /** Start of the endpoint; undefined if it had begun to answer. */
  readonly endpointStart: string | undefined;
  readonly atMs: number;
}

export interface StrikePublisherDependencies {
  readonly nodeName: string;
  readonly shared: SharedTable;
  readonly rows: RowCodec;
  /** Counts the strikes of all nodes. */
  readonly strikes: CrashCounter;
  readonly clock: Clock;
  /** Dates the strikes, as the clock of this process means nothing to other nodes and later starts. */
  readonly storeClock?: StoreClock;
  readonly log: GatewayLog;
}

/** Computes the fingerprint of a request, which is equal for the same account, path and body. */
export const computeFingerprint = (
  account: string,
  path: string,
  body: Buffer | undefined,
): Fingerprint => {
  const hash = createHash('sha1').update(account).update('\n').update(path).update('\n');
  if (body !== undefined) hash.update(body);
  return toId<Fingerprint>(hash.digest('base64url').slice(0, FINGERPRINT_LENGTH));
};

/** Exchanges strikes with the other nodes: publishes those of this node, several in one write, and counts all. */
export class StrikePublisher {
  private recentStrikes: PublishedStrike[] = [];

  /** Strikes since the last publication interval. */
  private newStrikes: PublishedStrike[] = [];

  /** Clock readings at the last complete answers of requests that crashes name. */
  private readonly recentAnswers = BoundedMap.create<Fingerprint, number>(MAX_PUBLISHED_ANSWERS);

  private hasUnpublishedStrikes = false;

  private isWriting = false;

  private constructor(private readonly dependencies: StrikePublisherDependencies) {}

  static create(dependencies: StrikePublisherDependencies): StrikePublisher {
    return new StrikePublisher(dependencies);
  }

  addStrike({ fingerprint, endpointStart, hasOutput }: RequestCrash): void {
    if (this.newStrikes.length >= MAX_PUBLISHED_STRIKES) this.newStrikes.shift();
    this.newStrikes.push({
      fingerprint,
      startId: computeStartId(endpointStart),
      endpointStart: hasOutput === true ? undefined : endpointStart,
      atMs: this.dependencies.clock.nowMs(),
    });
  }

  /**
   * Counts a strike of this node, and publishes it if it is new.
   *
   * @param atMs clock reading at the crash
   * @returns whether it is new
   */
  recordStrike(strike: RequestCrash, atMs: number): boolean {
    const { nodeName, strikes } = this.dependencies;
    const counted = { ...strike, endpointStart: computeStartId(strike.endpointStart) };
    if (!strikes.recordCrash(counted, atMs, nodeName)) return false;
    this.addStrike(strike);
    return true;
  }

  /** Records a heartbeat of an endpoint, which may refute that it has crashed. */
  recordHeartbeat(endpointStart: string, heartbeat: number): void {
    const { strikes } = this.dependencies;
    if (!strikes.isEmpty) strikes.recordHeartbeat(computeStartId(endpointStart), heartbeat);
  }

  /** Publishes that a request is sound although it was in flight in crashes. */
  addAnswer(fingerprint: Fingerprint, atMs: number): void {
    const isNew = !this.recentAnswers.has(fingerprint);
    this.recentAnswers.set(fingerprint, atMs);
    if (isNew) this.hasUnpublishedStrikes = true;
  }

  /** Counts the strikes of a node's row. This node's own row holds what it published before a restart. */
  applyRow({ key, value }: MirroredRow): void {
    if (value === undefined || !key.startsWith(STRIKES_PREFIX)) return;
    const { rows, strikes, clock, storeClock, log } = this.dependencies;
    const row = rowSchema.safeParse(rows.decodeSharedValue(value));
    const answered = row.success ? unpackStrikes(row.data.answered) : undefined;
    if (!row.success || answered === undefined) {
      const reason = row.error?.message.slice(0, MAX_FAULT_REASON_LENGTH) ?? 'malformed strikes';
      log.logStateChange('row_rejected', { kind: 'strikes', key, reason });
      return;
    }
    const nowMs = clock.nowMs();
    const reporter = key.slice(STRIKES_PREFIX.length);
    for (const [fingerprint, endpointStart, atStoreMs, outputFlag] of row.data.strikes)
      this.countStrike(reporter, {
        fingerprint: toId<Fingerprint>(fingerprint.slice(0, FINGERPRINT_LENGTH)),
        startId: computeStartId(endpointStart),
        endpointStart: outputFlag === HAS_OUTPUT ? undefined : endpointStart,
        atMs: nowMs - computeAgeMs(storeClock, atStoreMs),
      });
    const rowAgeMs = computeAgeMs(storeClock, row.data.writtenAtStoreMs);
    for (const { fingerprint, startId, ageMs } of answered)
      this.countStrike(reporter, {
        fingerprint,
        startId,
        endpointStart: undefined,
        atMs: nowMs - rowAgeMs - ageMs,
      });
    for (const [fingerprint, atStoreMs] of row.data.answers)
      strikes.recordCompletion(
        toId<Fingerprint>(fingerprint.slice(0, FINGERPRINT_LENGTH)),
        nowMs - computeAgeMs(storeClock, atStoreMs),
      );
  }

  private countStrike(reporter: string, strike: PublishedStrike): void {
    const { nodeName, strikes, clock } = this.dependencies;
    const { fingerprint, startId, endpointStart, atMs } = strike;
    if (clock.nowMs() - atMs > CRASH_RETENTION_MS) return;
    const crash = {
      fingerprint,
      endpointStart: startId,
      hasOutput: endpointStart === undefined,
    };
    strikes.recordCrash(crash, atMs, reporter);
    if (reporter === nodeName && !this.isKnown(strike)) this.recentStrikes.push(strike);
  }

  /** Lets the next publication write what this node has published, as the store has lost it. */
  publishAgain(): void {
    if (this.recentStrikes.length > 0 || this.recentAnswers.size > 0)
      this.hasUnpublishedStrikes = true;
  }

  /** Writes the recent strikes if there are new ones; a failed write is retried by the next call. */
  async publish(): Promise<void> {
    this.addNewStrikes();
    if (!this.hasUnpublishedStrikes || this.isWriting) return;
    this.isWriting = true;
    this.hasUnpublishedStrikes = false;
    const { nodeName, shared, clock, storeClock, log } = this.dependencies;
    // Other nodes would count a strike that has expired as a new one.
    const oldestMs = clock.nowMs() - CRASH_RETENTION_MS;
    this.recentStrikes = this.recentStrikes.filter(({ atMs }) => atMs >= oldestMs);
    const nowMs = clock.nowMs();
    const strikes: unknown[] = [];
    const answered: PackedStrike[] = [];
    for (const { fingerprint, startId, endpointStart, atMs } of this.recentStrikes) {
      const ageMs = nowMs - atMs;
      if (endpointStart === undefined) answered.push({ fingerprint, startId, ageMs });
      else strikes.push([fingerprint, endpointStart, ...listStoreTimes(storeClock, ageMs)]);
    }
    const answers = [...this.recentAnswers].flatMap(([fingerprint, atMs]) =>
      listStoreTimes(storeClock, clock.nowMs() - atMs).map((storeMs) => [fingerprint, storeMs]),
    );
    const [writtenAtStoreMs] = listStoreTimes(storeClock, 0);
    const row = {
      strikes,
      ...(answered.length === 0 ? {} : { answered: packStrikes(answered), writtenAtStoreMs }),
      ...(answers.length === 0 ? {} : { answers }),
    };
    const isWritten = await shared.write(`${STRIKES_PREFIX}${nodeName}`, row);
    this.isWriting = false;
    if (isWritten) return;
    this.hasUnpublishedStrikes = true;
    log.logStateChange('strikes_not_published', { strikes: this.recentStrikes.length });
  }

  /**
   * Adds the new strikes to the published ones. When many endpoints crash at once, hardly one request
   * is the cause, and each node has sent some to most of them: of those with an output, only the ones that were in
   * another crash as well are published.
   */
  private addNewStrikes(): void {
    const { clock, strikes } = this.dependencies;
    const starts = new Set(this.newStrikes.map(({ startId }) => startId));
    const isMassCrash = starts.size > MAX_SEPARATE_CRASHES;
    const isPublishable = ({ endpointStart, fingerprint }: PublishedStrike) =>
      !isMassCrash ||
      endpointStart !== undefined ||
      strikes.countCrashes(fingerprint, clock.nowMs()) > 1;
    const published = this.newStrikes.filter(isPublishable);
    this.newStrikes = [];
    if (published.length === 0) return;
    this.hasUnpublishedStrikes = true;
    this.recentStrikes = [...this.recentStrikes, ...published].slice(-MAX_PUBLISHED_STRIKES);
  }

  private isKnown({ fingerprint, startId }: PublishedStrike): boolean {
    return [...this.recentStrikes, ...this.newStrikes].some(
      (known) => known.fingerprint === fingerprint && known.startId === startId,
    );
  }
}
