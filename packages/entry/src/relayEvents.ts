import { assertNever, type CallerError } from '@lovagearch/common';
import type { EngineUsage, GenerateChunk } from '@lovagearch/engine-client';
import type { StreamFault } from './streamVerifier.js';

/** Where a token stands: in a stream of a runner, after the tokens of earlier streams. */
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

/** What the caller already has when a relay begins. */
export interface RelayOrigin {
  /** Tokens of earlier streams of the answer. */
  readonly offset: number;
  /** Tokens of this stream that are not passed on again. */
  readonly skip: number;
  /** Text of earlier streams; undefined if this node doesn't know it. */
  readonly earlierText: string | undefined;
  /** Whether the weight version of this stream was checked before. */
  readonly isAccepted: boolean;
}

export const NEW_ANSWER: RelayOrigin = { offset: 0, skip: 0, earlierText: '', isAccepted: false };

export type DoneChunk = Extract<GenerateChunk, { type: 'done' }>;

/** How reading one connection ended. */
export type ConnectionEnd =
  | { readonly type: 'closed' }
  | { readonly type: 'completed'; readonly chunk: DoneChunk }
  | { readonly type: 'reconnect'; readonly reason: string }
  | { readonly type: 'move'; readonly reason: string; readonly isRunnerUsable: boolean }
  | { readonly type: 'failed'; readonly reason: string };

export type StepResult = ConnectionEnd | { readonly type: 'more'; readonly event?: RelayEvent };

/**
 * Decides how a relay goes on after a chunk that can't belong to its stream.
 *
 * @param lastSeq good chunks before it
 */
export const getFaultEnd = (fault: StreamFault, lastSeq: number): ConnectionEnd => {
  switch (fault.type) {
    case 'wrong_stream':
      return { type: 'reconnect', reason: 'a chunk of another stream' };
    case 'wrong_sequence':
      return { type: 'reconnect', reason: `chunk ${fault.actual} instead of ${fault.expected}` };
    case 'wrong_version':
      return lastSeq === 0
        ? { type: 'move', reason: 'another weight version', isRunnerUsable: false }
        : { type: 'failed', reason: 'the runner changed its weight version' };
    case 'incomplete':
      // A wrong checksum stays wrong on every connection; missing chunks may still arrive.
      return fault.isRepairable
        ? { type: 'reconnect', reason: fault.detail }
        : { type: 'failed', reason: fault.detail };
    case 'too_long':
      return { type: 'failed', reason: 'the answer exceeds the limit' };
    default:
      return assertNever(fault);
  }
};
