import type { NodeId } from '@lovagearch/common';
import type { ResultAsync } from 'neverthrow';
import type { z } from 'zod';

/** Why a message to a peer failed. With `not_connected` and `peer_busy`, it was not sent. */
export type PeerError =
  | { readonly type: 'not_connected'; readonly message: string }
  | { readonly type: 'peer_busy' }
  | { readonly type: 'timeout'; readonly timeoutMs: number }
  | { readonly type: 'connection_lost' }
  | { readonly type: 'rejected'; readonly reason: string; readonly message: string }
  | { readonly type: 'unknown_peer' };

export type PeerHandler<Payload> = (from: NodeId, payload: Payload) => unknown;

/**
 * Messaging between nodes. Connections are opened on first use and closed when idle. Messages that
 * a node sends to itself are handled locally.
 */
export interface PeerMesh {
  readonly self: NodeId;
  /** Sets the address that a node listens on, as `host:port`. */
  readonly setAddress: (node: NodeId, address: string) => void;
  readonly removeAddress: (node: NodeId) => void;
  /** Sends a one-way message; dropped if the peer is unreachable or its send buffer is full. */
  readonly send: (to: NodeId, topic: string, payload: unknown) => void;
  readonly request: (
    to: NodeId,
    topic: string,
    payload: unknown,
    timeoutMs: number,
  ) => ResultAsync<unknown, PeerError>;
  /** Connects to an address whose node id is unknown and returns the id of that node. */
  readonly identifyPeer: (address: string, timeoutMs: number) => ResultAsync<NodeId, PeerError>;
  /** Registers the handler of a topic. It only receives payloads that match the schema. */
  readonly registerHandler: <Schema extends z.ZodType>(
    topic: string,
    schema: Schema,
    handler: PeerHandler<z.infer<Schema>>,
  ) => void;
  /** Bytes sent and received on all connections, for the budget of control traffic. */
  readonly getTraffic: () => { readonly sentBytes: number; readonly receivedBytes: number };
  readonly close: () => Promise<void>;
}
