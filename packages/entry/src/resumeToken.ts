import { createHmac, timingSafeEqual } from 'node:crypto';
import { type CallerError, createNotRunError } from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

const MAX_TOKEN_LENGTH = 2_048;
const KEY_LABEL = 'lovagearch resume token v1';

const positionSchema = z.object({
  account: z.string(),
  model: z.string(),
  weightVersion: z.string(),
  /** Identity of the prompt, so that a token never continues another prompt. */
  promptHash: z.string(),
  runner: z.string(),
  url: z.string(),
  streamId: z.string(),
  /** Last chunk of the stream that the caller received; 0 for none. */
  seq: z.number().int().nonnegative(),
  /** Chunks that the caller received from earlier streams of the same answer. */
  offset: z.number().int().nonnegative(),
});

/** A place in an answer at which it can be resumed by any node. */
export type ResumePosition = z.infer<typeof positionSchema>;

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/**
 * Signs and checks resume tokens, the ids of SSE events. The key is derived from the cluster key, so
 * a token of one node is valid at every node.
 */
export class ResumeTokens {
  private constructor(private readonly key: Buffer) {}

  /**
   * @example
   * const tokens = ResumeTokens.create(clusterKey);
   */
  static create(clusterKey: Uint8Array): ResumeTokens {
    return new ResumeTokens(createHmac('sha256', clusterKey).update(KEY_LABEL).digest());
  }

  /** Encodes a position as base64url text with an HMAC-SHA-256. */
  encode(position: ResumePosition): string {
    const payload = Buffer.from(JSON.stringify(position)).toString('base64url');
    return `${payload}.${this.computeMac(payload).toString('base64url')}`;
  }

  /**
   * Decodes a token that this cluster signed.
   *
   * @returns the position, or `resume_invalid` for text that is malformed or not signed
   */
  decode(token: string): Result<ResumePosition, CallerError> {
    const invalid = err(createNotRunError('resume_invalid', 'Last-Event-ID is not a valid token'));
    if (token.length > MAX_TOKEN_LENGTH) return invalid;
    const [payload = '', mac = ''] = token.split('.');
    const received = Buffer.from(mac, 'base64url');
    const expected = this.computeMac(payload);
    if (received.length !== expected.length || !timingSafeEqual(received, expected)) return invalid;
    const parsed = positionSchema.safeParse(
      parseJson(Buffer.from(payload, 'base64url').toString('utf8')),
    );
    return parsed.success ? ok(parsed.data) : invalid;
  }

  private computeMac(payload: string): Buffer {
    return createHmac('sha256', this.key).update(payload).digest();
  }
}
