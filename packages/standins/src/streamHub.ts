import { type Clock, computeSha256Hex } from '@lovagearch/common';
import type { ServerResponse } from 'node:http';
import type { EngineFaults } from './engineSchemas.js';

/** Streams that are kept, running and ended; the oldest ended one is dropped beyond this. */
const MAX_STREAMS = 2_000;
const SWEEP_MS = 1_000;

export interface StreamEnd {
  readonly finishReason: 'cancelled' | 'length' | 'stop';
  readonly usage: object;
}

interface Connection {
  readonly response: ServerResponse;
  nextSeq: number;
  isSilent: boolean;
}

/** One stream with all of its output. */
export interface Stream {
  readonly id: string;
  readonly weightVersion: string;
  readonly promptSha256: string;
  readonly account: string;
  readonly tokens: string[];
  readonly connections: Set<Connection>;
  end: StreamEnd | undefined;
  endedAtMs: number;
}

export interface StreamHubOptions {
  readonly retainMs: number;
  readonly heartbeatMs: number;
  readonly clock: Clock;
  readonly getFaults: () => EngineFaults;
  readonly getLoad: () => object;
}

/** Keeps the output of streams and writes it to any number of connections. */
export class StreamHub {
  private readonly streams = new Map<string, Stream>();

  private constructor(private readonly options: StreamHubOptions) {
    // Both timers end with the process; they don't keep it alive.
    setInterval(() => this.sendHeartbeats(), options.heartbeatMs).unref();
    setInterval(() => this.removeExpired(), SWEEP_MS).unref();
  }

  static create(options: StreamHubOptions): StreamHub {
    return new StreamHub(options);
  }

  get(id: string): Stream | undefined {
    return this.streams.get(id);
  }

  add(id: string, weightVersion: string, account: string, promptSha256: string): Stream {
    const stream: Stream = {
      id,
      weightVersion,
      account,
      promptSha256,
      tokens: [],
      connections: new Set(),
      end: undefined,
      endedAtMs: 0,
    };
    this.streams.set(id, stream);
    this.removeExpired();
    return stream;
  }

  /** Connections that still wait for output. */
  countConnections(): number {
    let count = 0;
    for (const { connections } of this.streams.values()) {
      for (const { isSilent } of connections) if (!isSilent) count += 1;
    }
    return count;
  }

  /** Writes the stream's output after a seq to a response, now and as it is generated. */
  open(stream: Stream, response: ServerResponse, afterSeq: number): void {
    const connection: Connection = { response, nextSeq: afterSeq + 1, isSilent: false };
    stream.connections.add(connection);
    response.on('error', () => undefined);
    response.on('close', () => stream.connections.delete(connection));
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    const { id: streamId, weightVersion } = stream;
    const load = this.options.getLoad();
    this.write(connection, { type: 'accepted', streamId, weightVersion, load });
    this.send(stream, connection);
  }

  addToken(stream: Stream, text: string): void {
    stream.tokens.push(text);
    for (const connection of stream.connections) this.send(stream, connection);
  }

  close(stream: Stream, end: StreamEnd): void {
    Object.assign(stream, { end, endedAtMs: this.options.clock.nowMs() });
    for (const connection of stream.connections) this.send(stream, connection);
  }

  private send(stream: Stream, connection: Connection): void {
    while (!connection.isSilent && connection.nextSeq <= stream.tokens.length) {
      const seq = connection.nextSeq;
      Object.assign(connection, { nextSeq: seq + 1 });
      this.sendToken(stream, connection, seq);
      if (connection.response.destroyed) return;
    }
    if (connection.isSilent || stream.end === undefined) return;
    const chunks = stream.tokens.length;
    const { id: streamId, weightVersion, end } = stream;
    this.write(connection, {
      type: 'done',
      streamId,
      seq: chunks + 1,
      chunks,
      sha256: computeSha256Hex(stream.tokens.join('')),
      ...end,
      weightVersion,
      load: this.options.getLoad(),
    });
    connection.response.end();
  }

  private sendToken(stream: Stream, connection: Connection, seq: number): void {
    const faults = this.options.getFaults();
    const other = faults.crossAnswers ? this.findOtherStream(stream) : undefined;
    const source = other ?? stream;
    const sentSeq = other === undefined ? seq : other.tokens.length;
    const text = source.tokens[sentSeq - 1] ?? '';
    const chunk = { type: 'token', streamId: source.id, seq: sentSeq, text };
    this.write(connection, chunk);
    if (faults.repeatChunks) this.write(connection, chunk);
    if (faults.silentAfterSeq === seq) Object.assign(connection, { isSilent: true });
    if (faults.dropConnectionAfterSeq !== seq) return;
    Object.assign(connection, { isSilent: true });
    // Destroyed only after the chunk was handed to the socket; `end` would complete the body.
    connection.response.write('', () => connection.response.destroy());
  }

  private findOtherStream(stream: Stream): Stream | undefined {
    for (const other of this.streams.values()) {
      if (other !== stream && other.end === undefined && other.tokens.length > 0) return other;
    }
    return undefined;
  }

  private sendHeartbeats(): void {
    for (const { id: streamId, connections } of this.streams.values()) {
      for (const connection of connections) {
        if (connection.isSilent) continue;
        this.write(connection, { type: 'heartbeat', streamId, load: this.options.getLoad() });
      }
    }
  }

  private write({ response }: Connection, chunk: object): void {
    if (!response.writableEnded && !response.destroyed) {
      response.write(`${JSON.stringify(chunk)}\n`);
    }
  }

  private removeExpired(): void {
    const nowMs = this.options.clock.nowMs();
    let excess = this.streams.size - MAX_STREAMS;
    for (const { id, end, endedAtMs } of this.streams.values()) {
      if (end === undefined) continue;
      if (excess <= 0 && nowMs - endedAtMs < this.options.retainMs) continue;
      this.streams.delete(id);
      excess -= 1;
    }
  }
}
