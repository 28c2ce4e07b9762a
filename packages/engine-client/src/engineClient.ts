import type { ResultAsync } from 'neverthrow';
import type {
  CacheEventPage,
  EngineAddress,
  EngineError,
  EngineOrder,
  EngineStatus,
  ExportResult,
  GenerateChunk,
  GenerateRequest,
} from './types.js';

/** One connection to a stream of a runner. */
export interface EngineStream {
  /**
   * Chunks in order. The iteration ends after `done` or `error` and never throws: if the connection
   * fails, the last item is `{ type: 'failed', error }`.
   */
  readonly chunks: AsyncIterable<GenerateChunk | { readonly type: 'failed'; error: EngineError }>;
  /** Closes this connection; the runner continues the stream. */
  readonly close: () => void;
}

/** Client for runners. Every method has a timeout and returns typed errors. */
export interface EngineClient {
  /** Sends a prompt; succeeds once the runner has accepted it. */
  readonly generate: (
    address: EngineAddress,
    request: GenerateRequest,
  ) => ResultAsync<EngineStream, EngineError>;
  /** Resumes a stream after a sequence number on a new connection. */
  readonly resume: (
    address: EngineAddress,
    streamId: string,
    afterSeq: number,
  ) => ResultAsync<EngineStream, EngineError>;
  readonly cancel: (address: EngineAddress, streamId: string) => ResultAsync<void, EngineError>;
  readonly readStatus: (address: EngineAddress) => ResultAsync<EngineStatus, EngineError>;
  readonly readCacheEvents: (
    address: EngineAddress,
    after: { readonly boot: string; readonly seq: number },
  ) => ResultAsync<CacheEventPage, EngineError>;
  readonly exportSegment: (
    address: EngineAddress,
    segment: { readonly tailKey: string; readonly depth: number; readonly target: string },
  ) => ResultAsync<ExportResult, EngineError>;
  readonly sendOrder: (
    address: EngineAddress,
    order: EngineOrder,
  ) => ResultAsync<void, EngineError>;
  readonly close: () => Promise<void>;
}
