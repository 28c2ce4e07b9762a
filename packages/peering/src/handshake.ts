import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { WebSocket } from 'ws';
import { toId, type NodeId } from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { HANDSHAKE_TIMEOUT_MS } from './constants.js';
import type { FrameReader, FrameReadError } from './frameReader.js';
import { decodeValue, encodeValue } from './frames.js';

const NONCE_BYTES = 16;
const MAX_HANDSHAKE_FRAME_BYTES = 1_024;

const nodeSchema = z.string().min(1).max(128);
const nonceSchema = z.string().length(NONCE_BYTES * 2);
const macSchema = z.string().length(64);
const helloSchema = z.object({ v: z.literal(1), node: nodeSchema, nonce: nonceSchema });
const helloReplySchema = helloSchema.extend({ mac: macSchema });
const proofSchema = z.object({ v: z.literal(1), mac: macSchema });

/** Why a connection could not be authenticated. */
export type HandshakeError =
  | { readonly type: 'bad_frame' }
  | { readonly type: 'bad_mac' }
  | { readonly type: 'unexpected_node'; readonly node: string }
  | FrameReadError;

interface HandshakeTranscript {
  readonly connecting: string;
  readonly accepting: string;
  readonly connectingNonce: string;
  readonly acceptingNonce: string;
}

const computeMac = (
  key: Buffer,
  direction: 'accept' | 'connect',
  parts: HandshakeTranscript,
): string =>
  createHmac('sha256', key)
    // JSON delimits the fields, so that different transcripts never yield the same input.
    .update(
      JSON.stringify([
        direction,
        parts.connecting,
        parts.accepting,
        parts.connectingNonce,
        parts.acceptingNonce,
      ]),
    )
    .digest('hex');

const isMacEqual = (a: string, b: string): boolean => {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
};

const readFrame = async <Schema extends z.ZodType>(
  reader: FrameReader,
  schema: Schema,
  timeoutMs: number,
): Promise<Result<z.infer<Schema>, HandshakeError>> => {
  const frame = await reader.read(timeoutMs);
  if (!Buffer.isBuffer(frame)) return err(frame);
  const value = frame.length > MAX_HANDSHAKE_FRAME_BYTES ? undefined : decodeValue(frame);
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err({ type: 'bad_frame' });
};

const createNonce = (): string => randomBytes(NONCE_BYTES).toString('hex');

/**
 * Authenticates an outgoing connection. Both sides contribute a nonce, so that a recorded handshake
 * can't be replayed to either side.
 *
 * @param expected required node id of the peer; undefined if it is not known yet
 * @returns the peer's node id
 */
export const initiateHandshake = async (
  socket: WebSocket,
  reader: FrameReader,
  key: Buffer,
  self: NodeId,
  expected: NodeId | undefined,
  limitMs: number,
): Promise<Result<NodeId, HandshakeError>> => {
  const connectingNonce = createNonce();
  socket.send(encodeValue({ v: 1, node: self, nonce: connectingNonce }));
  const reply = await readFrame(reader, helloReplySchema, limitMs);
  if (reply.isErr()) return err(reply.error);
  const { node, nonce, mac } = reply.value;
  const transcript = {
    connecting: self,
    accepting: node,
    connectingNonce,
    acceptingNonce: nonce,
  };
  if (!isMacEqual(mac, computeMac(key, 'accept', transcript))) return err({ type: 'bad_mac' });
  if (expected !== undefined && expected !== node) return err({ type: 'unexpected_node', node });
  socket.send(encodeValue({ v: 1, mac: computeMac(key, 'connect', transcript) }));
  return ok(toId<NodeId>(node));
};

/** Authenticates an incoming connection and returns the peer's node id. */
export const acceptHandshake = async (
  socket: WebSocket,
  reader: FrameReader,
  key: Buffer,
  self: NodeId,
): Promise<Result<NodeId, HandshakeError>> => {
  const hello = await readFrame(reader, helloSchema, HANDSHAKE_TIMEOUT_MS);
  if (hello.isErr()) return err(hello.error);
  const acceptingNonce = createNonce();
  const transcript = {
    connecting: hello.value.node,
    accepting: self,
    connectingNonce: hello.value.nonce,
    acceptingNonce,
  };
  const mac = computeMac(key, 'accept', transcript);
  socket.send(encodeValue({ v: 1, node: self, nonce: acceptingNonce, mac }));
  const proof = await readFrame(reader, proofSchema, HANDSHAKE_TIMEOUT_MS);
  if (proof.isErr()) return err(proof.error);
  return isMacEqual(proof.value.mac, computeMac(key, 'connect', transcript))
    ? ok(toId<NodeId>(hello.value.node))
    : err({ type: 'bad_mac' });
};
