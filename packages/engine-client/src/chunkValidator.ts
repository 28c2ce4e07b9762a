import { err, ok, type Result } from 'neverthrow';
import { type EngineError, type GenerateChunk, generateChunkSchema } from './types.js';

const createProtocolViolation = (message: string): Result<never, EngineError> =>
  err({ type: 'protocol_violation', message });

const parseLine = (line: string): unknown => {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
};

/**
 * Validates the chunks of one connection: the schema, the stream id and the order of sequence numbers.
 *
 * @example
 * const validator = ChunkValidator.create('stream-1', 0);
 * const chunk = validator.validate('{"type":"token","streamId":"stream-1","seq":1,"text":"a"}');
 */
export class ChunkValidator {
  private isFirst = true;

  private constructor(
    private readonly streamId: string,
    private lastSeq: number,
  ) {}

  /** @param afterSeq the last sequence number received on earlier connections; 0 for a new stream */
  static create(streamId: string, afterSeq: number): ChunkValidator {
    return new ChunkValidator(streamId, afterSeq);
  }

  validate(line: string): Result<GenerateChunk, EngineError> {
    const parsed = generateChunkSchema.safeParse(parseLine(line));
    if (!parsed.success) return createProtocolViolation('a line is not a valid stream chunk');
    const chunk = parsed.data;
    if (chunk.streamId !== this.streamId)
      return createProtocolViolation('a chunk has a wrong stream id');
    if (chunk.type === 'accepted' && !this.isFirst) {
      return createProtocolViolation('a connection has a second `accepted` chunk');
    }
    this.isFirst = false;
    if (chunk.type !== 'token' && chunk.type !== 'done') return ok(chunk);
    const expectedSeq = this.lastSeq + 1;
    if (chunk.seq !== expectedSeq) {
      return createProtocolViolation(`a chunk has seq ${chunk.seq} instead of ${expectedSeq}`);
    }
    this.lastSeq = chunk.seq;
    return ok(chunk);
  }
}
