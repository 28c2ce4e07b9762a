import { type Clock, getErrorMessage } from '@lovagearch/common';
import type { ChunkChecker } from './chunkChecker.js';
import { MAX_LINE_BYTES } from './constants.js';
import type { EngineStream } from './engineClient.js';
import { LineReader } from './lineReader.js';
import { SilenceError } from './silenceError.js';
import type { EngineError, GenerateChunk } from './types.js';

export type StreamValue = GenerateChunk | { readonly type: 'failed'; error: EngineError };

/** The bytes of one response, and how to end its connection. */
export interface StreamSource {
  readonly body: AsyncIterable<Buffer> & { readonly destroy: (error?: Error) => unknown };
  readonly close: () => void;
}

export interface StreamOptions {
  readonly checker: ChunkChecker;
  readonly silenceLimitMs: number;
  readonly clock: Clock;
}

const getStreamError = (error: unknown): EngineError =>
  error instanceof SilenceError
    ? { type: 'silent', silentMs: error.silentMs }
    : { type: 'connection_lost', message: getErrorMessage(error) };

/**
 * Reads the body piece by piece; throws `SilenceError` if the wait for one piece exceeds the limit.
 * The time during which the consumer does not read is not counted as silence.
 */
async function* readPieces(source: StreamSource, options: StreamOptions): AsyncGenerator<Buffer> {
  const iterator = source.body[Symbol.asyncIterator]();
  for (;;) {
    const startMs = options.clock.nowMs();
    let isWaiting = true;
    // After a pause of this process the timer runs before waiting bytes are read; `setImmediate`
    // lets the event loop read them first.
    const timer = setTimeout(() => {
      setImmediate(() => {
        if (isWaiting) source.body.destroy(new SilenceError(options.clock.nowMs() - startMs));
      });
    }, options.silenceLimitMs);
    try {
      const next = await iterator.next();
      if (next.done === true) return;
      isWaiting = false;
      clearTimeout(timer);
      yield next.value;
    } finally {
      isWaiting = false;
      clearTimeout(timer);
    }
  }
}

async function* readChunks(
  source: StreamSource,
  options: StreamOptions,
): AsyncGenerator<StreamValue, void> {
  const lines = LineReader.create(MAX_LINE_BYTES);
  try {
    for await (const piece of readPieces(source, options)) {
      const complete = lines.read(piece);
      if (complete === undefined) {
        const message = `a line is longer than ${MAX_LINE_BYTES} bytes`;
        yield { type: 'failed', error: { type: 'protocol_violation', message } };
        return;
      }
      for (const line of complete) {
        const chunk = options.checker.check(line);
        if (chunk.isErr()) {
          yield { type: 'failed', error: chunk.error };
          return;
        }
        yield chunk.value;
        if (chunk.value.type === 'done' || chunk.value.type === 'error') return;
      }
    }
    const message = 'the connection ended before the stream did';
    yield { type: 'failed', error: { type: 'connection_lost', message } };
  } catch (error) {
    yield { type: 'failed', error: getStreamError(error) };
  } finally {
    source.close();
  }
}

/** One connection to a stream; the connection is closed when the iteration ends. */
export class HttpEngineStream implements EngineStream {
  private constructor(
    readonly chunks: AsyncGenerator<StreamValue, void>,
    readonly close: () => void,
  ) {}

  /** The first byte is awaited under the same limit of silence as all others. */
  static create(source: StreamSource, options: StreamOptions): HttpEngineStream {
    return new HttpEngineStream(readChunks(source, options), source.close);
  }

  /** Returns a stream whose iteration begins with a value that was already read. */
  static createWithFirst(first: StreamValue, rest: HttpEngineStream): HttpEngineStream {
    async function* readAll(): AsyncGenerator<StreamValue, void> {
      try {
        yield first;
        yield* rest.chunks;
      } finally {
        rest.close();
      }
    }
    return new HttpEngineStream(readAll(), rest.close);
  }
}
