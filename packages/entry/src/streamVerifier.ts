import { createHash } from 'node:crypto';
import type { GenerateChunk } from '@lovagearch/engine-client';
import { err, ok, type Result } from 'neverthrow';
import { MAX_GENERATED_BYTES } from './callerConstants.js';

type TokenChunk = Extract<GenerateChunk, { type: 'token' }>;
type DoneChunk = Extract<GenerateChunk, { type: 'done' }>;

/** Why a chunk can't belong to the stream. `wrong_version` proves that the answer is of no use. */
export type StreamFault =
  | { readonly type: 'wrong_stream' }
  | { readonly type: 'wrong_sequence'; readonly expected: number; readonly actual: number }
  | { readonly type: 'wrong_version'; readonly actual: string }
  | { readonly type: 'incomplete'; readonly detail: string; readonly isRepairable: boolean }
  | { readonly type: 'too_long' };

/**
 * Checks that the chunks of one engine stream belong to it, are whole and in order. It keeps the
 * text, which a continuation on another runner needs. It lives over reconnections.
 */
export class StreamVerifier {
  private readonly hash = createHash('sha256');

  private readonly parts: string[] = [];

  private bytes = 0;

  private constructor(
    private readonly streamId: string,
    private readonly weightVersion: string,
  ) {}

  static create(streamId: string, weightVersion: string): StreamVerifier {
    return new StreamVerifier(streamId, weightVersion);
  }

  /** Sequence number of the last good token chunk; 0 before the first. */
  get lastSeq(): number {
    return this.parts.length;
  }

  /** Text of all good chunks. */
  get text(): string {
    return this.parts.join('');
  }

  /** Checks stream id and weight version of a chunk that is not a token. */
  checkIdentity(chunk: Exclude<GenerateChunk, TokenChunk>): Result<void, StreamFault> {
    if (chunk.streamId !== this.streamId) return err({ type: 'wrong_stream' });
    if ('weightVersion' in chunk && chunk.weightVersion !== this.weightVersion) {
      return err({ type: 'wrong_version', actual: chunk.weightVersion });
    }
    return ok();
  }

  /** Checks and adds a token chunk. */
  addToken(chunk: TokenChunk): Result<void, StreamFault> {
    if (chunk.streamId !== this.streamId) return err({ type: 'wrong_stream' });
    const expected = this.lastSeq + 1;
    if (chunk.seq !== expected) return err({ type: 'wrong_sequence', expected, actual: chunk.seq });
    this.bytes += Buffer.byteLength(chunk.text);
    if (this.bytes > MAX_GENERATED_BYTES) return err({ type: 'too_long' });
    this.parts.push(chunk.text);
    this.hash.update(chunk.text);
    return ok();
  }

  /** Checks the number of chunks and the SHA-256 of the whole text. */
  checkDone(chunk: DoneChunk): Result<void, StreamFault> {
    if (chunk.seq !== this.lastSeq + 1 || chunk.chunks !== this.lastSeq) {
      const detail = `${this.lastSeq} of ${chunk.chunks} chunks arrived`;
      return err({ type: 'incomplete', detail, isRepairable: true });
    }
    if (this.hash.copy().digest('hex') !== chunk.sha256) {
      const detail = 'the SHA-256 of the text differs';
      return err({ type: 'incomplete', detail, isRepairable: false });
    }
    return ok();
  }
}
