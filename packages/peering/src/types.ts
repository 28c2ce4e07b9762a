import type { NodeId } from '@lovagearch/common';
import type { ResultAsync } from 'neverthrow';
import type { z } from 'zod';

/** Why a message to a peer failed. `not_connected` and `peer_busy`: the request was not sent. */
export type PeerError =
  | { readonly type: 'not_connected'; readonly message: string }
  | { readonly type: 'peer_busy' }
  | { readonly type: 'timeout'; readonly timeoutMs: number }
  | { readonly type: 'connection_lost' }
  | { readonly type: 'rejected'; readonly reason: string; readonly message: string }
  | { readonly type: 'unknown_peer' };

export type PeerHandler<Payload> = (from: NodeId, payload: Payload) => unknown;

/**
 * Messages between nodes. Connections are opened on first use and closed when idle. Messages to the
 * node itself are handled locally.
 */
export interface PeerMesh {
  readonly self: NodeId;
  /** Tells where a node listens, as `host:port`. */
  readonly setAddress: (node: NodeId, address: string) => void;
  readonly removeAddress: (node: NodeId) => void;
  /** Sends without an answer; dropped when the peer can't be reached or its buffer is full. */
  readonly send: (to: NodeId, topic: string, payload: unknown) => void;
  readonly request: (
    to: NodeId,
    topic: string,
    payload: unknown,
    timeoutMs: number,
  ) => ResultAsync<unknown, PeerError>;
  /** Connects to an address whose node id is not known yet and returns the id. */
  readonly introduce: (address: string, timeoutMs: number) => ResultAsync<NodeId, PeerError>;
  /** Registers the handler of a topic; payloads that the schema rejects never reach it. */
  readonly registerHandler: <Schema extends z.ZodType>(
    topic: string,
    schema: Schema,
    handler: PeerHandler<z.infer<Schema>>,
  ) => void;
  /** Bytes sent and received on all connections, for the control budget. */
  readonly getTraffic: () => { readonly sentBytes: number; readonly receivedBytes: number };
  readonly close: () => Promise<void>;
}
