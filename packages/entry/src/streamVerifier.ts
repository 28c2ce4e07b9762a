import { createHash } from 'node:crypto';
import type { GenerateChunk } from '@lovagearch/engine-client';
import { err, ok, type Result } from 'neverthrow';
import { MAX_GENERATED_BYTES } from './callerConstants.js';

type TokenChunk = Extract<GenerateChunk, { type: 'token' }>;
type DoneChunk = Extract<GenerateChunk, { type: 'done' }>;

/** Why a chunk is invalid. After `wrong_version`, the response from this runner can't be used. */
export type StreamIntegrityError =
  | { readonly type: 'wrong_stream' }
  | { readonly type: 'wrong_sequence'; readonly expected: number; readonly actual: number }
  | { readonly type: 'wrong_version'; readonly actual: string }
  | { readonly type: 'incomplete'; readonly detail: string; readonly isRepairable: boolean }
  | { readonly type: 'too_long' };

/**
 * Verifies that the chunks of one engine stream belong to it, are complete and arrive in order.
 * Keeps the text, which is needed to continue the response on another runner. The same instance is
 * used across reconnections.
 */
export class StreamVerifier {
  private readonly hash = createHash('sha256');

  private readonly tokenTexts: string[] = [];

  private textBytes = 0;

  private constructor(
    private readonly streamId: string,
    private readonly weightVersion: string,
  ) {}

  static create(streamId: string, weightVersion: string): StreamVerifier {
    return new StreamVerifier(streamId, weightVersion);
  }

  /** Sequence number of the last valid token chunk; 0 before the first. */
  get lastSeq(): number {
    return this.tokenTexts.length;
  }

  /** Text of all valid chunks. */
  get text(): string {
    return this.tokenTexts.join('');
  }

  /** Verifies the stream id and weight version of a chunk that isn't a token. */
  checkIdentity(chunk: Exclude<GenerateChunk, TokenChunk>): Result<void, StreamIntegrityError> {
    if (chunk.streamId !== this.streamId) return err({ type: 'wrong_stream' });
    if ('weightVersion' in chunk && chunk.weightVersion !== this.weightVersion) {
      return err({ type: 'wrong_version', actual: chunk.weightVersion });
    }
    return ok();
  }

  /** Verifies a token chunk and appends its text. */
  addToken(chunk: TokenChunk): Result<void, StreamIntegrityError> {
    if (chunk.streamId !== this.streamId) return err({ type: 'wrong_stream' });
    const expected = this.lastSeq + 1;
    if (chunk.seq !== expected) return err({ type: 'wrong_sequence', expected, actual: chunk.seq });
    this.textBytes += Buffer.byteLength(chunk.text);
    if (this.textBytes > MAX_GENERATED_BYTES) return err({ type: 'too_long' });
    this.tokenTexts.push(chunk.text);
    this.hash.update(chunk.text);
    return ok();
  }

  /** Verifies the chunk count and the SHA-256 of the complete text. */
  checkDone(chunk: DoneChunk): Result<void, StreamIntegrityError> {
    if (chunk.seq !== this.lastSeq + 1 || chunk.chunks !== this.lastSeq) {
      const detail = `received ${this.lastSeq} of ${chunk.chunks} chunks`;
      return err({ type: 'incomplete', detail, isRepairable: true });
    }
    if (this.hash.copy().digest('hex') !== chunk.sha256) {
      const detail = 'the SHA-256 of the text does not match';
      return err({ type: 'incomplete', detail, isRepairable: false });
    }
    return ok();
  }
}
