import { pack } from 'msgpackr';
import { type Clock, getRendezvousOwners } from '@lovagearch/common';
import type { EndpointTable } from '@lovagearch/endpoints';
import type { MirroredRow, StoreClock } from '@lovagearch/mirror';
import * as z from 'zod';
import {
  MAX_FAULT_REASON_LENGTH,
  MAX_PUBLISHED_STREAMS,
  MAX_STREAMS_PER_DATAGRAM,
  ORIGIN_PUBLISH_INTERVAL_MS,
  ORIGIN_PUBLISH_INTERVAL_PER_NODE_MS,
  STAND_IN_AGE_MS,
  STREAM_RETENTION_MS,
  VERSIONS_PUBLISH_INTERVAL_MS,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import { computeAgeMs, listStoreTimes } from './storeTime.js';
import type { StreamStatement } from './peerStreams.js';
import type { StreamEntry, StreamOrigins, UnpublishedAges } from './streamOrigins.js';
import type { RowCodec, SharedTable } from './types.js';

/** Key prefix of the rows in which each node publishes the streams that it has begun. */
export const STREAMS_PREFIX = 'streams/';

/** Rendezvous hashing key for the choice of the nodes that publish for others. */
const PUBLISHER_KEY = 'streams/publishers';

/** Rows of a node; each is older than any stream that can be resumed before it is overwritten. */
const PUBLICATION_SLOTS = Math.ceil(STREAM_RETENTION_MS / ORIGIN_PUBLISH_INTERVAL_MS) + 1;

/** First element of a datagram with streams, which tells it from a load digest. */
const DATAGRAM_TYPE = 'streams';

/** Service, software version, and key and age of each stream in milliseconds. */
const groupSchema = z.tuple([
  z.string(),
  z.string(),
  z.array(z.tuple([z.string(), z.number().nonnegative()])),
]);
export const groupsSchema = z.array(groupSchema);
export type StreamGroup = z.infer<typeof groupSchema>;
const datagramSchema = z.tuple([z.literal(DATAGRAM_TYPE), groupsSchema]);
const rowSchema = z.object({
  writtenAtStoreMs: z.number(),
  /** Service, software version, and time since its last use in milliseconds. */
  versions: z.array(z.tuple([z.string(), z.string(), z.number().nonnegative()])),
  streams: groupsSchema,
});

export interface OriginSharingDependencies {
  readonly nodeName: string;
  readonly origins: StreamOrigins;
  readonly endpoints: EndpointTable;
  readonly shared: SharedTable;
  readonly rows: RowCodec;
  readonly clock: Clock;
  readonly storeClock: StoreClock;
  /** Lists this node and the peers that are told of each other's streams. */
  readonly listSharingNodes: () => readonly string[];
  readonly log: GatewayLog;
}

const createGroups = (entries: readonly StreamEntry[], nowMs: number): StreamGroup[] => {
  const groups = new Map<string, StreamGroup>();
  for (const { service, version, key, atMs } of entries) {
    const name = JSON.stringify([service, version]);
    const group = groups.get(name) ?? [service, version, []];
    groups.set(name, group);
    group[2].push([key, Math.max(0, Math.round(nowMs - atMs))]);
  }
  return [...groups.values()];
};

/** How soon a node publishes streams in the shared table. */
interface PublicationPace extends UnpublishedAges {
  readonly intervalMs: number;
  /** Interval of rows without streams, which tell later processes what versions are in use. */
  readonly versionsIntervalMs: number;
}

/**
 * Tells other nodes and later processes which software version began the streams of this node, while several versions
 * of a service are in use: peers by datagrams within some hundredths of a second, the shared table within half a second,
 * from which nodes learn it that start after all others were killed. One node publishes the streams of all that share
 * load with it; another one, and then each by itself, step in for what it leaves out.
 *
 * @example
 * const sharing = OriginSharing.create(dependencies);
 * for (const datagram of sharing.takeDatagrams()) sendToPeers(datagram);
 * await sharing.publish();
 */
export class OriginSharing {
  private publishedAtMs = Number.NEGATIVE_INFINITY;

  private isWriting = false;

  private constructor(private readonly dependencies: OriginSharingDependencies) {}

  static create(dependencies: OriginSharingDependencies): OriginSharing {
    return new OriginSharing(dependencies);
  }

  /** Takes the datagrams with the streams that peers don't know yet. */
  takeDatagrams(): Buffer[] {
    const { origins, clock } = this.dependencies;
    const nowMs = clock.nowMs();
    const services = this.listMixedServices(nowMs);
    if (services.size === 0) return [];
    const entries = origins.takeUnsent(services, MAX_STREAMS_PER_DATAGRAM, nowMs);
    return entries.length === 0 ? [] : [pack([DATAGRAM_TYPE, createGroups(entries, nowMs)])];
  }

  /** Applies the unpacked datagram of a peer; returns false if it is none with streams. */
  applyDatagram(value: unknown): boolean {
    const { origins, clock } = this.dependencies;
    const datagram = datagramSchema.safeParse(value);
    if (!datagram.success) return false;
    for (const entry of this.readGroups(datagram.data[1], clock.nowMs()))
      origins.recordPeerStream(entry);
    return true;
  }

  /**
   * Creates the statement that peers ask for: the versions in use, and this node's streams of the last `maxAgeMs`.
   *
   * @param processAgeMs age of this process in milliseconds
   */
  createStatement(processAgeMs: number, maxAgeMs: number): Omit<StreamStatement, 'isStoreRead'> {
    const { origins, endpoints, clock } = this.dependencies;
    const nowMs = clock.nowMs();
    const services = new Set([...endpoints.listAll()].map(({ record }) => record.service));
    const versions = [...services].flatMap((service) =>
      endpoints
        .listSoftware(service, nowMs, STREAM_RETENTION_MS)
        .map(({ version, untilMs }): [string, string, number] => [
          service,
          version,
          Math.max(0, nowMs - untilMs),
        ]),
    );
    return {
      processAgeMs,
      versions,
      streams: createGroups(origins.listOwn(nowMs, maxAgeMs), nowMs),
    };
  }

  /** Applies the statement of a peer that has just arrived. */
  applyStatement({ versions, streams }: Omit<StreamStatement, 'isStoreRead'>): void {
    const { origins, endpoints, clock } = this.dependencies;
    const nowMs = clock.nowMs();
    for (const [service, version, ageMs] of versions)
      endpoints.recordSoftwareUse(service, version, nowMs - ageMs);
    for (const entry of this.readGroups(streams, nowMs)) origins.recordPeerStream(entry);
  }

  /** Applies a row of any node. This node's own rows hold what it published before a restart. */
  applyRow({ key, value }: MirroredRow): void {
    if (value === undefined || !key.startsWith(STREAMS_PREFIX)) return;
    const { rows, origins, endpoints, clock, storeClock, log } = this.dependencies;
    const row = rowSchema.safeParse(rows.decodeSharedValue(value));
    if (!row.success) {
      const reason = row.error.message.slice(0, MAX_FAULT_REASON_LENGTH);
      log.logStateChange('row_rejected', { kind: 'streams', key, reason });
      return;
    }
    const writtenAtMs = clock.nowMs() - computeAgeMs(storeClock, row.data.writtenAtStoreMs);
    for (const [service, version, ageMs] of row.data.versions)
      endpoints.recordSoftwareUse(service, version, writtenAtMs - ageMs);
    for (const entry of this.readGroups(row.data.streams, writtenAtMs))
      origins.recordPublishedStream(entry);
  }

  /**
   * Writes streams that no row has yet. The rows of a node form a ring, in which each is overwritten once its streams
   * are too old to be resumed.
   */
  async publish(): Promise<void> {
    const { nodeName, origins, shared, clock, storeClock, log } = this.dependencies;
    const nowMs = clock.nowMs();
    const [writtenAtStoreMs] = listStoreTimes(storeClock, 0);
    const services = this.listMixedServices(nowMs);
    if (this.isWriting || writtenAtStoreMs === undefined || services.size === 0) return;
    const pace = this.choosePace();
    const sincePublishedMs = nowMs - this.publishedAtMs;
    if (sincePublishedMs < pace.intervalMs) return;
    const entries = origins.listUnpublished(services, nowMs, pace);
    if (entries.length === 0 && sincePublishedMs < pace.versionsIntervalMs) return;
    this.isWriting = true;
    this.publishedAtMs = nowMs;
    const published = entries.slice(-MAX_PUBLISHED_STREAMS);
    const slot = Math.floor(writtenAtStoreMs / ORIGIN_PUBLISH_INTERVAL_MS) % PUBLICATION_SLOTS;
    try {
      const isWritten = await shared.write(`${STREAMS_PREFIX}${nodeName}/${slot}`, {
        writtenAtStoreMs,
        versions: [...services].flatMap((service) => this.listVersions(service, nowMs)),
        streams: createGroups(published, nowMs),
      });
      if (isWritten) origins.recordPublished(published);
      else log.logStateChange('streams_not_published', { streams: published.length });
    } finally {
      this.isWriting = false;
    }
  }

  /** Lists the services of which several software versions were in use recently. */
  private listMixedServices(nowMs: number): Set<string> {
    const { endpoints, origins } = this.dependencies;
    const mixed = origins
      .listServices()
      .filter((service) => endpoints.listSoftware(service, nowMs, STREAM_RETENTION_MS).length > 1);
    return new Set(mixed);
  }

  private listVersions(service: string, nowMs: number): [string, string, number][] {
    return this.dependencies.endpoints
      .listSoftware(service, nowMs, STREAM_RETENTION_MS)
      .map(({ version, untilMs }) => [service, version, Math.max(0, Math.round(nowMs - untilMs))]);
  }

  private choosePace(): PublicationPace {
    const { nodeName, listSharingNodes } = this.dependencies;
    const nodes = listSharingNodes();
    const [first, second] = getRendezvousOwners(PUBLISHER_KEY, nodes, 2);
    const isFirst = nodeName === first;
    if (isFirst || nodeName === second) {
      const minAgeMs = isFirst ? 0 : STAND_IN_AGE_MS;
      return {
        intervalMs: ORIGIN_PUBLISH_INTERVAL_MS,
        versionsIntervalMs: VERSIONS_PUBLISH_INTERVAL_MS,
        minOwnAgeMs: minAgeMs,
        minForeignAgeMs: minAgeMs,
      };
    }
    return {
      intervalMs: Math.max(STAND_IN_AGE_MS, nodes.length * ORIGIN_PUBLISH_INTERVAL_PER_NODE_MS),
      versionsIntervalMs: Number.POSITIVE_INFINITY,
      minOwnAgeMs: 2 * STAND_IN_AGE_MS,
      minForeignAgeMs: Number.POSITIVE_INFINITY,
    };
  }

  /** @param writtenAtMs clock reading at which the ages in the groups were computed */
  private readGroups(groups: readonly StreamGroup[], writtenAtMs: number): StreamEntry[] {
    const { endpoints } = this.dependencies;
    const entries: StreamEntry[] = [];
    for (const [service, version, streams] of groups) {
      for (const [key, ageMs] of streams) {
        const atMs = writtenAtMs - ageMs;
        endpoints.recordSoftwareUse(service, version, atMs);
        entries.push({ key, service, version, atMs });
      }
    }
    return entries;
  }
}
