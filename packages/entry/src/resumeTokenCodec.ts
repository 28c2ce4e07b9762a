import { createHmac, timingSafeEqual } from 'node:crypto';
import { BoundedMap, type CallerError, createNotRunError } from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

const MAX_TOKEN_LENGTH = 2_048;
const KEY_LABEL = 'lovagearch resume token v1';

/** MAC length: 128 bits can't be guessed within the 60 s for which a stream is retained. */
const MAC_BYTES = 16;
/** Streams whose signed part is cached; more than one node serves concurrently. */
const MAX_SIGNED_STREAMS = 4_096;

/**
 * Signed part of a token, which is the same for all events of a stream: account, model, weight
 * version, prompt hash, runner, URL, stream id and offset.
 */
const signedSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.number().int().nonnegative(),
]);
const seqSchema = z.coerce.number().int().nonnegative();

/** Position in a response from which any node can resume it. */
export interface ResumePosition {
  readonly account: string;
  readonly model: string;
  readonly weightVersion: string;
  /** Binds the token to its prompt, so that it can't resume a response to another one. */
  readonly promptHash: string;
  readonly runner: string;
  readonly url: string;
  readonly streamId: string;
  /** Sequence number of the last chunk of the stream that the caller received; 0 for none. */
  readonly seq: number;
  /** Number of chunks that the caller received from earlier streams of the same response. */
  readonly offset: number;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/**
 * Encodes and verifies resume tokens, which are the ids of SSE events. The signing key is derived
 * from the cluster key, so a token from one node is valid on every node. The sequence number isn't
 * signed: that would take a signature per event, and a caller that alters the number only re-reads
 * its own stream from another position.
 */
export class ResumeTokenCodec {
  private readonly signedParts = BoundedMap.create<string, string>(MAX_SIGNED_STREAMS);

  private constructor(private readonly key: Buffer) {}

  /**
   * @example
   * const resumeTokens = ResumeTokenCodec.create(clusterKey);
   */
  static create(clusterKey: Uint8Array): ResumeTokenCodec {
    return new ResumeTokenCodec(createHmac('sha256', clusterKey).update(KEY_LABEL).digest());
  }

  /** Encodes a position as `payload.mac.seq`; payload and MAC form the signed part. */
  encode(position: ResumePosition): string {
    const cacheKey = `${position.streamId}/${position.offset}`;
    const known = this.signedParts.get(cacheKey);
    if (known !== undefined) return `${known}.${position.seq}`;
    const signed = this.createSignedPart(position);
    this.signedParts.set(cacheKey, signed);
    return `${signed}.${position.seq}`;
  }

  /**
   * Decodes a token and verifies that it was signed by this cluster.
   *
   * @returns the position, or `resume_invalid` if the token is malformed or its MAC is invalid
   */
  decode(token: string): Result<ResumePosition, CallerError> {
    const invalid = err(
      createNotRunError('resume_invalid', 'Last-Event-ID is not a valid resume token'),
    );
    if (token.length > MAX_TOKEN_LENGTH) return invalid;
    const [payload = '', mac = '', seqText = ''] = token.split('.');
    const received = Buffer.from(mac, 'base64url');
    const expected = this.computeMac(payload);
    if (received.length !== expected.length || !timingSafeEqual(received, expected)) return invalid;
    const text = Buffer.from(payload, 'base64url').toString('utf8');
    const signed = signedSchema.safeParse(parseJson(text));
    const seq = seqSchema.safeParse(seqText);
    if (!signed.success || !seq.success || seqText === '') return invalid;
    const [account, model, weightVersion, promptHash, runner, url, streamId, offset] = signed.data;
    const stream = { account, model, weightVersion, promptHash, runner, url, streamId };
    return ok({ ...stream, seq: seq.data, offset });
  }

  private createSignedPart(position: ResumePosition): string {
    const { account, model, weightVersion, promptHash, runner, url, streamId, offset } = position;
    const fields = [account, model, weightVersion, promptHash, runner, url, streamId, offset];
    const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
    return `${payload}.${this.computeMac(payload).toString('base64url')}`;
  }

  private computeMac(payload: string): Buffer {
    const mac = createHmac('sha256', this.key).update(payload).digest();
    return mac.subarray(0, MAC_BYTES);
  }
}
