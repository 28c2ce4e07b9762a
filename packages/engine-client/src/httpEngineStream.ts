import { type Clock, getErrorMessage } from '@lovagearch/common';
import type { ChunkValidator } from './chunkValidator.js';
import { MAX_LINE_BYTES } from './constants.js';
import type { EngineStream } from './engineClient.js';
import { LineReader } from './lineReader.js';
import { StreamIdleError } from './streamIdleError.js';
import type { EngineError, GenerateChunk } from './types.js';

export type StreamItem = GenerateChunk | { readonly type: 'failed'; error: EngineError };

/** The body of a response and a function that closes its connection. */
export interface StreamSource {
  readonly body: AsyncIterable<Buffer> & { readonly destroy: (error?: Error) => unknown };
  readonly close: () => void;
}

export interface StreamOptions {
  readonly validator: ChunkValidator;
  readonly streamIdleTimeoutMs: number;
  readonly clock: Clock;
}

const getStreamError = (error: unknown): EngineError =>
  error instanceof StreamIdleError
    ? { type: 'silent', silentMs: error.idleMs }
    : { type: 'connection_lost', message: getErrorMessage(error) };

/**
 * Reads the body in chunks; throws `StreamIdleError` if waiting for a chunk exceeds the idle timeout.
 * Time during which the consumer does not read doesn't count as idle time.
 */
async function* readBodyChunks(
  source: StreamSource,
  options: StreamOptions,
): AsyncGenerator<Buffer> {
  const iterator = source.body[Symbol.asyncIterator]();
  /** Start of the current wait for a chunk; undefined while no read is pending. */
  let waitStartMs: number | undefined = options.clock.nowMs();
  const destroyIfIdle = (sinceMs: number): void => {
    if (waitStartMs === sinceMs) {
      source.body.destroy(new StreamIdleError(options.clock.nowMs() - sinceMs));
    }
  };
  // After this process was suspended, the timer fires before bytes that have arrived are read;
  // `setImmediate` lets the event loop read them first.
  const timer = setTimeout(() => {
    if (waitStartMs !== undefined) setImmediate(destroyIfIdle, waitStartMs);
  }, options.streamIdleTimeoutMs);
  try {
    for (;;) {
      waitStartMs = options.clock.nowMs();
      timer.refresh();
      const next = await iterator.next();
      waitStartMs = undefined;
      if (next.done === true) return;
      yield next.value;
    }
  } finally {
    waitStartMs = undefined;
    clearTimeout(timer);
  }
}

async function* readChunks(
  source: StreamSource,
  options: StreamOptions,
): AsyncGenerator<StreamItem, void> {
  const lineReader = LineReader.create(MAX_LINE_BYTES);
  try {
    for await (const bodyChunk of readBodyChunks(source, options)) {
      const completeLines = lineReader.read(bodyChunk);
      if (completeLines === undefined) {
        const message = `a line is longer than ${MAX_LINE_BYTES} bytes`;
        yield { type: 'failed', error: { type: 'protocol_violation', message } };
        return;
      }
      for (const line of completeLines) {
        const chunk = options.validator.validate(line);
        if (chunk.isErr()) {
          yield { type: 'failed', error: chunk.error };
          return;
        }
        yield chunk.value;
        if (chunk.value.type === 'done' || chunk.value.type === 'error') return;
      }
    }
    const message = 'the connection closed before the end of the stream';
    yield { type: 'failed', error: { type: 'connection_lost', message } };
  } catch (error) {
    yield { type: 'failed', error: getStreamError(error) };
  } finally {
    source.close();
  }
}

/** Prepends an item; a plain iterator avoids the cost of another generator for each item. */
const prependItem = (
  first: StreamItem,
  rest: AsyncGenerator<StreamItem, void>,
): AsyncGenerator<StreamItem, void> => {
  let isFirst = true;
  const prefixedItems: AsyncGenerator<StreamItem, void> = {
    next: async () => {
      if (!isFirst) return rest.next();
      isFirst = false;
      return { done: false, value: first };
    },
    return: async (value) => rest.return(value),
    throw: async (error) => rest.throw(error),
    [Symbol.asyncIterator]: () => prefixedItems,
  };
  return prefixedItems;
};

/** A connection to a stream, which is closed when the iteration ends. */
export class HttpEngineStream implements EngineStream {
  private constructor(
    readonly chunks: AsyncGenerator<StreamItem, void>,
    readonly close: () => void,
  ) {}

  /** The idle timeout also applies to the first byte of the body. */
  static create(source: StreamSource, options: StreamOptions): HttpEngineStream {
    return new HttpEngineStream(readChunks(source, options), source.close);
  }

  /** Returns a stream that starts with an item that was already read. */
  static createWithFirst(first: StreamItem, rest: HttpEngineStream): HttpEngineStream {
    return new HttpEngineStream(prependItem(first, rest.chunks), rest.close);
  }
}
