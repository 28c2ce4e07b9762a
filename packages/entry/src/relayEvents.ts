import { assertNever, type CallerError } from '@lovagearch/common';
import type { EngineUsage, GenerateChunk } from '@lovagearch/engine-client';
import type { StreamIntegrityError } from './streamVerifier.js';

/** Position of a token: its stream and runner, and the number of tokens from earlier streams. */
export interface TokenPosition {
  readonly runner: string;
  readonly url: string;
  readonly streamId: string;
  readonly seq: number;
  readonly offset: number;
}

export type RelayEvent =
  | { readonly type: 'token'; readonly text: string; readonly position: TokenPosition }
  | {
      readonly type: 'done';
      readonly finishReason: 'length' | 'stop';
      readonly usage: EngineUsage;
    }
  | { readonly type: 'failed'; readonly error: CallerError };

/** What the caller has already received when a relay starts. */
export interface RelayOrigin {
  /** Number of tokens from earlier streams of the response. */
  readonly offset: number;
  /** Sequence number of the last token of this stream that the caller has received; 0 for none. */
  readonly deliveredSeq: number;
  /** Text from earlier streams; undefined if it isn't available on this node. */
  readonly earlierText: string | undefined;
  /** Whether the weight version of this stream has already been verified. */
  readonly isAccepted: boolean;
}

export const START_OF_RESPONSE: RelayOrigin = {
  offset: 0,
  deliveredSeq: 0,
  earlierText: '',
  isAccepted: false,
};

export type DoneChunk = Extract<GenerateChunk, { type: 'done' }>;

/** Outcome of reading one connection. */
export type ConnectionEnd =
  | { readonly type: 'closed' }
  | { readonly type: 'completed'; readonly chunk: DoneChunk }
  | { readonly type: 'reconnect'; readonly reason: string }
  | { readonly type: 'move'; readonly reason: string; readonly isRunnerUsable: boolean }
  | { readonly type: 'failed'; readonly reason: string };

export type ChunkResult = ConnectionEnd | { readonly type: 'more'; readonly event?: RelayEvent };

/**
 * Maps an integrity error of a chunk to the relay's next step.
 *
 * @param lastSeq sequence number of the last valid chunk; 0 for none
 */
export const classifyIntegrityError = (
  error: StreamIntegrityError,
  lastSeq: number,
): ConnectionEnd => {
  switch (error.type) {
    case 'wrong_stream':
      return { type: 'reconnect', reason: 'received a chunk of another stream' };
    case 'wrong_sequence':
      return {
        type: 'reconnect',
        reason: `received chunk ${error.actual} instead of ${error.expected}`,
      };
    case 'wrong_version':
      return lastSeq === 0
        ? { type: 'move', reason: 'the runner uses another weight version', isRunnerUsable: false }
        : { type: 'failed', reason: 'the runner changed its weight version during the response' };
    case 'incomplete':
      // Missing chunks can be fetched on a new connection, but a checksum mismatch would persist.
      return error.isRepairable
        ? { type: 'reconnect', reason: error.detail }
        : { type: 'failed', reason: error.detail };
    case 'too_long':
      return { type: 'failed', reason: 'the response exceeds the size limit' };
    default:
      return assertNever(error);
  }
};
