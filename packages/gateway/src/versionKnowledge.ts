import type { Clock } from '@lovagearch/common';
import {
  type EndpointTable,
  MAX_FULL_VIEW_NODES,
  type TimeSpan,
  type VersionUse,
} from '@lovagearch/endpoints';
import type { TableMirror, TableSource } from '@lovagearch/mirror';
import { STREAM_RETENTION_MS, VERSION_READ_TIMEOUT_MS } from './constants.js';
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
  readonly softwareRecord: SoftwareRecord;
  readonly originSharing: Pick<OriginSharing, 'applyStatement'>;
  /** Lists the addresses of the other nodes by name; undefined if they aren't all known. */
  readonly listPeers: () => ReadonlyMap<string, string> | undefined;
  readonly askPeer: StreamStatementSource;
  /** Time within which all processes have started if they were started together, in milliseconds. */
  readonly startSpreadMs: number;
  /** Clock reading at which this process started. */
  readonly startMs: number;
  readonly clock: Clock;
}

/** Answers of the peers to one question. */
interface PeerAnswers {
  /** Clock reading at which they were asked. */
  readonly askedAtMs: number;
  readonly peers: number;
  readonly answers: readonly StreamStatement[];
}

/**
 * Confirms which software versions were in use up to now. A copy of a table shows neither what was written since nor what
 * happened while this process was suspended, cut off or not yet started, and an age measured at its arrival doesn't
 * either. So the tables are read again after the question; without the store, most of the nodes have to answer.
 *
 * @example
 * const { uses, complete, begin } = await knowledge.confirm('app');
 */
export class VersionKnowledge {
  private readonly storeRead = JoinedCall.create(() => this.readStore());

  private readonly peerRead = JoinedCall.create(() => this.askPeers());

  /** Clock reading of the last question that each peer has answered. */
  private readonly answeredAtMs = new Map<string, number>();

  private constructor(private readonly dependencies: VersionKnowledgeDependencies) {}

  static create(dependencies: VersionKnowledgeDependencies): VersionKnowledge {
    return new VersionKnowledge(dependencies);
  }

  /** Confirms the versions of a service up to the time of the call, and applies what peers know of its streams. */
  async confirm(service: string): Promise<KnownVersions> {
    const { endpoints, softwareRecord, clock } = this.dependencies;
    const arrivedAtMs = clock.nowMs();
    const listUses = () => {
      softwareRecord.recordUses();
      return endpoints.listSoftware(service, clock.nowMs(), STREAM_RETENTION_MS);
    };
    const begin = { fromMs: arrivedAtMs - STREAM_RETENTION_MS, untilMs: arrivedAtMs };
    const fromMs = softwareRecord.findKnownSinceMs() ?? Number.POSITIVE_INFINITY;
    const readAtMs = await this.storeRead.run();
    if (readAtMs !== undefined) {
      const uses = listUses();
      const complete = { fromMs, untilMs: readAtMs };
      if (uses.length <= 1 || fromMs > begin.fromMs)
        return { uses, complete, begin, confirmedBy: 'store' };
    }
    const peerAnswers = await this.peerRead.run();
    const uses = listUses();
    if (readAtMs === undefined) {
      const { peers, answers, askedAtMs } = peerAnswers;
      if (2 * (answers.length + 1) <= peers + 1) {
        const complete = { fromMs, untilMs: Number.NEGATIVE_INFINITY };
        return { uses, complete, begin, confirmedBy: 'none' };
      }
      return { uses, complete: { fromMs, untilMs: askedAtMs }, begin, confirmedBy: 'peers' };
    }
    const complete = { fromMs, untilMs: readAtMs };
    const firstStartMs = this.findCommonStart(begin, peerAnswers);
    if (firstStartMs === undefined) return { uses, complete, begin, confirmedBy: 'store' };
    return {
      // Each process records a version before its first event arrives, so that no earlier one has used the others.
      uses: uses.filter((use) => Number.isFinite(use.fromMs)),
      complete,
      begin: { ...begin, untilMs: firstStartMs },
      confirmedBy: 'store',
    };
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
    const { mirrors, clock } = this.dependencies;
    const startMs = clock.nowMs();
    const read = await Promise.all(mirrors.map(async (mirror) => this.readChanges(mirror)));
    return read.every((isRead) => isRead) ? startMs : undefined;
  }

  private async readChanges(mirror: TableMirror): Promise<boolean> {
    const { tables, clock } = this.dependencies;
    const { table, version, era } = mirror;
    if (version === 0) return false;
    const result = await tables.readChanges(table, version, 0, VERSION_READ_TIMEOUT_MS);
    if (result.type === 'failure') return false;
    const { batch } = result;
    // The follower of the table goes over to a later era of the store.
    if (mirror.era !== era || (batch.era ?? era) !== era) return false;
    // One that is older than the copy is ignored: the follower has read a later state meanwhile.
    mirror.applyBatch(batch, clock.nowMs());
    return true;
  }

  private async askPeers(): Promise<PeerAnswers> {
    const { listPeers, askPeer, originSharing, clock } = this.dependencies;
    const askedAtMs = clock.nowMs();
    const peers = listPeers();
    // The answers of hundreds of nodes would cost more than the streams that go on by them.
    if (peers === undefined || peers.size >= MAX_FULL_VIEW_NODES)
      return { askedAtMs, peers: Number.POSITIVE_INFINITY, answers: [] };
    const answers: StreamStatement[] = [];
    const ask = async ([name, address]: [string, string]) => {
      const sinceMs = this.answeredAtMs.get(name) ?? Number.NEGATIVE_INFINITY;
      const maxAgeMs = Math.min(STREAM_RETENTION_MS, askedAtMs - sinceMs + VERSION_READ_TIMEOUT_MS);
      const statement = await askPeer(address, maxAgeMs);
      if (statement === undefined) return;
      this.answeredAtMs.set(name, askedAtMs);
      originSharing.applyStatement(statement);
      answers.push(statement);
    };
    await Promise.all([...peers].map(ask));
    return { askedAtMs, peers: peers.size, answers };
  }
}
