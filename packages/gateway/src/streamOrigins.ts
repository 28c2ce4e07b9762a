import { createHash } from 'node:crypto';
import { BoundedMap } from '@lovagearch/common';
import {
  MAX_KNOWN_STREAMS,
  MAX_UNSHARED_STREAMS,
  STREAM_KEY_LENGTH,
  STREAM_RETENTION_MS,
  STREAM_SENDS,
} from './constants.js';

/** The service that began a stream, and the software version of the endpoint. */
export interface StreamOrigin {
  readonly service: string;
  readonly version: string;
}

/** The origin of a stream under its key. */
export interface StreamEntry extends StreamOrigin {
  readonly key: string;
  /** Clock reading at which the stream last began or went on. */
  readonly atMs: number;
}

/**
 * Computes the key of a stream from the id of the request that brought its first event. It depends on the client
 * account, so that no account can change or find out about a stream of another one.
 */
export const computeStreamKey = (accountName: string | undefined, requestId: string): string =>
  createHash('sha1')
    .update(accountName ?? '')
    .update('\n')
    .update(requestId)
    .digest('base64url')
    .slice(0, STREAM_KEY_LENGTH);

/** Ages from which streams are listed, in milliseconds. */
export interface UnpublishedAges {
  readonly minOwnAgeMs: number;
  /** The age of streams of other nodes. */
  readonly minForeignAgeMs: number;
}

interface KnownStream extends StreamEntry {
  /** Whether this node has begun the stream. */
  readonly isOwn: boolean;
}

/**
 * Which software version began each recent stream, of this node and of others, and who is still to be told. Streams are
 * handed out for peers and for the shared table by service, as nobody needs those of a service with one version.
 *
 * @example
 * const origins = StreamOrigins.create();
 * origins.recordStream({ key, service: 'app', version: 'v1', atMs: clock.nowMs() });
 * const origin = origins.findOrigin(key, clock.nowMs());
 */
export class StreamOrigins {
  private readonly streams = BoundedMap.create<string, KnownStream>(MAX_KNOWN_STREAMS);

  /** Number of datagrams in which peers are still to be told of each stream of this node. */
  private readonly unsent = BoundedMap.create<string, number>(MAX_UNSHARED_STREAMS);

  /** Streams that no row of the shared table has, as far as this node knows. */
  private readonly unpublished = BoundedMap.create<string, true>(MAX_UNSHARED_STREAMS);

  private readonly services = new Set<string>();

  static create(): StreamOrigins {
    return new StreamOrigins();
  }

  /** Records a stream that an endpoint has begun or goes on with at this node. */
  recordStream(entry: StreamEntry): void {
    this.addStream(entry, true);
    this.unsent.set(entry.key, STREAM_SENDS);
    this.unpublished.set(entry.key, true);
  }

  /** Records a stream that a peer has begun. */
  recordPeerStream(entry: StreamEntry): void {
    if (this.addForeign(entry)) this.unpublished.set(entry.key, true);
  }

  /** Records a stream that a row of the shared table has, of a peer or of an earlier process of this node. */
  recordPublishedStream(entry: StreamEntry): void {
    this.addForeign(entry);
    this.unpublished.delete(entry.key);
  }

  /** Lists the services that have begun streams. */
  listServices(): string[] {
    return [...this.services];
  }

  /** Returns the origin of a stream that began or went on recently. */
  findOrigin(key: string, nowMs: number): StreamEntry | undefined {
    return this.findRecent(key, nowMs);
  }

  /** Lists the streams of this node that began or went on within the last `maxAgeMs`. */
  listOwn(nowMs: number, maxAgeMs: number): StreamEntry[] {
    return [...this.streams.values()].filter(
      ({ isOwn, atMs }) => isOwn && nowMs - atMs <= maxAgeMs,
    );
  }

  /** Takes streams of this node that peers are to be told of; each is taken several times, as datagrams get lost. */
  takeUnsent(services: ReadonlySet<string>, maxCount: number, nowMs: number): StreamEntry[] {
    const taken: StreamEntry[] = [];
    for (const [key, sends] of [...this.unsent]) {
      if (taken.length >= maxCount) break;
      const stream = this.findRecent(key, nowMs);
      if (stream === undefined) this.unsent.delete(key);
      else if (services.has(stream.service)) {
        taken.push(stream);
        if (sends > 1) this.unsent.set(key, sends - 1);
        else this.unsent.delete(key);
      }
    }
    return taken;
  }

  /** Lists the streams of some services that no row of the shared table has yet. */
  listUnpublished(
    services: ReadonlySet<string>,
    nowMs: number,
    { minOwnAgeMs, minForeignAgeMs }: UnpublishedAges,
  ): StreamEntry[] {
    const listed: StreamEntry[] = [];
    for (const key of [...this.unpublished.keys()]) {
      const stream = this.findRecent(key, nowMs);
      if (stream === undefined) this.unpublished.delete(key);
      else if (services.has(stream.service)) {
        const ageMs = nowMs - stream.atMs;
        if (ageMs >= (stream.isOwn ? minOwnAgeMs : minForeignAgeMs)) listed.push(stream);
      }
    }
    return listed;
  }

  /** Records that this node has written streams to the shared table. */
  recordPublished(published: readonly StreamEntry[]): void {
    for (const { key } of published) this.unpublished.delete(key);
  }

  private findRecent(key: string, nowMs: number): KnownStream | undefined {
    const stream = this.streams.peek(key);
    return stream === undefined || nowMs - stream.atMs > STREAM_RETENTION_MS ? undefined : stream;
  }

  /** Adds a stream of another node or process; returns whether it is new. */
  private addForeign(entry: StreamEntry): boolean {
    const known = this.streams.peek(entry.key);
    if (known !== undefined && (known.isOwn || known.atMs >= entry.atMs)) return false;
    this.addStream(entry, false);
    return known === undefined;
  }

  private addStream(entry: StreamEntry, isOwn: boolean): void {
    this.streams.set(entry.key, { ...entry, isOwn });
    this.services.add(entry.service);
  }
}
