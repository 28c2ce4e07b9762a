import { setTimeout as waitForTimer } from 'node:timers/promises';
import type { Clock, Random } from '@lovagearch/common';
import {
  type EndpointTable,
  MAX_FULL_VIEW_NODES,
  type TimeSpan,
  type VersionUse,
} from '@lovagearch/endpoints';
import type { TableMirror, TableSource } from '@lovagearch/mirror';
import {
  PEER_STORE_READ_MS,
  PEERS_PER_READ,
  STREAM_RETENTION_MS,
  VERSION_READ_TIMEOUT_MS,
} from './constants.js';
import { JoinedCall } from './joinedCall.js';
import type { OriginSharing } from './originSharing.js';
import type { StreamStatement, StreamStatementSource } from './peerStreams.js';
import type { SoftwareRecord } from './softwareRecord.js';

/** What this node knows of the versions at which a stream may have begun. */
export interface KnownVersions {
  readonly uses: readonly VersionUse[];
  /** Span in which no use can be missing. */
  readonly complete: TimeSpan;
  /** Span in which a stream has begun whose origin isn't known. */
  readonly begin: TimeSpan;
  /** Who has confirmed the end of the span. */
  readonly confirmedBy: 'none' | 'peers' | 'store';
}

export interface VersionKnowledgeDependencies {
  readonly endpoints: EndpointTable;
  /** Copies of the registrations and of the shared table. */
  readonly mirrors: readonly TableMirror[];
  readonly tables: Pick<TableSource, 'readChanges'>;
  /**
   * Whether the followers of the tables reach the store. After an outage, they note that it has recovered before they apply
   * which endpoints have lapsed, so that these stay in use for a while.
   */
  readonly isStoreReachable: () => boolean;
  readonly softwareRecord: SoftwareRecord;
  readonly originSharing: Pick<OriginSharing, 'applyStatement' | 'createStatement'>;
  /** Lists the addresses of the other nodes by name; undefined if they aren't all known. */
  readonly listPeers: () => ReadonlyMap<string, string> | undefined;
  readonly askPeer: StreamStatementSource;
  /** Time within which all processes have started if they were started together, in milliseconds. */
  readonly startSpreadMs: number;
  /** Clock reading at which this process started. */
  readonly startMs: number;
  readonly clock: Clock;
  readonly random: Random;
}

/** Answers of the peers to one question. */
interface PeerAnswers {
  /** Clock reading at which they were asked. */
  readonly askedAtMs: number;
  /** Number of peers that there are; infinite if they aren't all known. */
  readonly peers: number;
  readonly answers: readonly StreamStatement[];
}

/**
 * Confirms which software versions were in use up to now. A copy of a table shows neither what was written since nor what
 * happened while this process was suspended, cut off or not yet started, and an age measured at its arrival doesn't
 * either. So the tables are read again after the question, by a peer if this node doesn't reach the store. Without the
 * store, all nodes have to answer.
 *
 * @example
 * const { uses, complete, begin } = await knowledge.confirm('app');
 */
export class VersionKnowledge {
  private readonly storeRead = JoinedCall.create(() => this.readStore());

  private readonly peerRead = JoinedCall.create(() => this.askPeers(false));

  /** The same, where peers are to read the store for this node. */
  private readonly storeReadOfPeers = JoinedCall.create(() => this.askPeers(true));

  /** Clock reading of the last question that each peer has answered. */
  private readonly answeredAtMs = new Map<string, number>();

  private constructor(private readonly dependencies: VersionKnowledgeDependencies) {}

  static create(dependencies: VersionKnowledgeDependencies): VersionKnowledge {
    return new VersionKnowledge(dependencies);
  }

  /** Confirms the versions of a service up to the time of the call, and applies what peers know of its streams. */
  async confirm(service: string): Promise<KnownVersions> {
    const { softwareRecord, clock } = this.dependencies;
    const nowMs = clock.nowMs();
    const begin = { fromMs: nowMs - STREAM_RETENTION_MS, untilMs: nowMs };
    const fromMs = softwareRecord.findKnownSinceMs() ?? Number.POSITIVE_INFINITY;
    const readAtMs = await this.storeRead.run();
    if (readAtMs === undefined) {
      const { untilMs, confirmedBy } = await this.confirmByPeers();
      return { uses: this.listUses(service), complete: { fromMs, untilMs }, begin, confirmedBy };
    }
    const known = { complete: { fromMs, untilMs: readAtMs }, begin, confirmedBy: 'store' } as const;
    const uses = this.listUses(service);
    if (uses.length <= 1 || fromMs > begin.fromMs) return { ...known, uses };
    const firstStartMs = this.findCommonStart(begin, await this.peerRead.run());
    if (firstStartMs === undefined) return { ...known, uses: this.listUses(service) };
    return {
      ...known,
      begin: { ...begin, untilMs: firstStartMs },
      // Each process records a version before its first event arrives, so that no earlier one has used the others.
      uses: this.listUses(service).filter((use) => Number.isFinite(use.fromMs)),
    };
  }

  /**
   * Creates the statement that peers ask for.
   *
   * @param maxAgeMs age of the oldest streams in it, in milliseconds
   * @param isStoreReadWanted whether to read the store before, as the peer doesn't reach it
   */
  async createStatement(maxAgeMs: number, isStoreReadWanted: boolean): Promise<StreamStatement> {
    const { softwareRecord, originSharing, startMs, clock } = this.dependencies;
    const readAtMs = isStoreReadWanted
      ? await Promise.race([this.storeRead.run(), waitForTimer(PEER_STORE_READ_MS, undefined)])
      : undefined;
    softwareRecord.recordUses();
    return {
      ...originSharing.createStatement(clock.nowMs() - startMs, maxAgeMs),
      isStoreRead: readAtMs !== undefined,
    };
  }

  private listUses(service: string): VersionUse[] {
    const { endpoints, softwareRecord, clock } = this.dependencies;
    softwareRecord.recordUses();
    return endpoints.listSoftware(service, clock.nowMs(), STREAM_RETENTION_MS);
  }

  private async confirmByPeers(): Promise<
    Pick<KnownVersions, 'confirmedBy'> & { untilMs: number }
  > {
    const { askedAtMs, peers, answers } = await this.storeReadOfPeers.run();
    // A single node that reaches the store may have begun streams at a version that no other one knows.
    const areAllHeard =
      answers.length >= peers &&
      answers.every((answer) => this.isPredecessorKnown(answer, askedAtMs));
    return areAllHeard || answers.some(({ isStoreRead }) => isStoreRead)
      ? { untilMs: askedAtMs, confirmedBy: 'peers' }
      : { untilMs: Number.NEGATIVE_INFINITY, confirmedBy: 'none' };
  }

  /**
   * Whether streams of the process that ran before a peer's are known: they are too old to be resumed, or it ended before
   * the tables were last read, so that it can't have known more versions than they show.
   */
  private isPredecessorKnown({ processAgeMs }: StreamStatement, askedAtMs: number): boolean {
    if (processAgeMs >= STREAM_RETENTION_MS) return true;
    return this.dependencies.mirrors.every((mirror) => mirror.getAgeMs(askedAtMs) <= processAgeMs);
  }

  /**
   * Returns the first start of a process, if all were started together. A stream that none of them knows was begun by a
   * process before.
   */
  private findCommonStart(
    begin: TimeSpan,
    { askedAtMs, peers, answers }: PeerAnswers,
  ): number | undefined {
    const { startMs, startSpreadMs } = this.dependencies;
    if (answers.length < peers) return undefined;
    const starts = [startMs, ...answers.map(({ processAgeMs }) => askedAtMs - processAgeMs)];
    const firstMs = Math.min(...starts);
    const isTogether = Math.max(...starts) - firstMs <= startSpreadMs;
    return isTogether && firstMs >= begin.fromMs ? firstMs : undefined;
  }

  /** Returns the clock reading as of which all copies are complete; undefined if the store can't be read. */
  private async readStore(): Promise<number | undefined> {
    const { mirrors, isStoreReachable, clock } = this.dependencies;
    if (!isStoreReachable()) return undefined;
    const startMs = clock.nowMs();
    const read = await Promise.all(mirrors.map(async (mirror) => this.readChanges(mirror)));
    return read.every((isRead) => isRead) ? startMs : undefined;
  }

  private async readChanges(mirror: TableMirror): Promise<boolean> {
    const { tables, isStoreReachable, clock } = this.dependencies;
    const { table, version, era } = mirror;
    if (version === 0) return false;
    const result = await tables.readChanges(table, version, 0, VERSION_READ_TIMEOUT_MS);
    if (result.type === 'failure' || !isStoreReachable()) return false;
    const { batch } = result;
    // The follower of the table goes over to a later era of the store.
    if (mirror.era !== era || (batch.era ?? era) !== era) return false;
    // One that is older than the copy is ignored: the follower has read a later state meanwhile.
    mirror.applyBatch(batch, clock.nowMs());
    return true;
  }

  /** Asks all peers; in large deployments some of them, if one that reads the store is enough. */
  private async askPeers(isStoreReadWanted: boolean): Promise<PeerAnswers> {
    const { listPeers, askPeer, originSharing, random, clock } = this.dependencies;
    const askedAtMs = clock.nowMs();
    const peers = listPeers();
    const all = [...(peers ?? [])];
    const isLarge = all.length >= MAX_FULL_VIEW_NODES;
    const sampleSize = isStoreReadWanted ? PEERS_PER_READ : 0;
    const asked = isLarge ? [...all].sort(() => random() - 0.5).slice(0, sampleSize) : all;
    const answers: StreamStatement[] = [];
    const ask = async ([name, address]: [string, string]) => {
      const sinceMs = this.answeredAtMs.get(name) ?? Number.NEGATIVE_INFINITY;
      const maxAgeMs = Math.min(STREAM_RETENTION_MS, askedAtMs - sinceMs + VERSION_READ_TIMEOUT_MS);
      const statement = await askPeer(address, maxAgeMs, isStoreReadWanted);
      if (statement === undefined) return;
      this.answeredAtMs.set(name, askedAtMs);
      originSharing.applyStatement(statement);
      answers.push(statement);
    };
    await Promise.all(asked.map(ask));
    return { askedAtMs, peers: peers?.size ?? Number.POSITIVE_INFINITY, answers };
  }
}
