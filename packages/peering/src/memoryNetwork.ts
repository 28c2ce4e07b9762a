import type { NodeId } from '@lovagearch/common';
import type { Result } from 'neverthrow';
import type { PeerError } from './types.js';

/** Receives the messages for one node of a `MemoryNetwork`. */
export interface MemoryReceiver {
  readonly receive: (
    from: NodeId,
    topic: string,
    bytes: Uint8Array,
  ) => Promise<Result<Uint8Array, PeerError>>;
  readonly recordReply: (topic: string, bytes: number) => void;
}

/**
 * Connects nodes inside one process, with real encoding and byte counts but without sockets. It is
 * used by tests and by the scaling measurements, which run hundreds of nodes.
 *
 * @example
 * const network = MemoryNetwork.create();
 * const mesh = MemoryMesh.create('node-1' as NodeId, network);
 */
export class MemoryNetwork {
  private constructor(
    private readonly receivers: Map<NodeId, MemoryReceiver>,
    private readonly blockedDirections: Set<string>,
  ) {}

  static create(): MemoryNetwork {
    return new MemoryNetwork(new Map(), new Set());
  }

  addNode(node: NodeId, receiver: MemoryReceiver): void {
    this.receivers.set(node, receiver);
  }

  /** Removes a node, as if its process had exited. */
  removeNode(node: NodeId): void {
    this.receivers.delete(node);
  }

  /** Drops all messages between two nodes until `healPartitions` is called. */
  partitionNodes(a: NodeId, b: NodeId): void {
    this.blockedDirections.add(`${a}>${b}`).add(`${b}>${a}`);
  }

  /** Removes all partitions. */
  healPartitions(): void {
    this.blockedDirections.clear();
  }

  getReceiver(from: NodeId, to: NodeId): MemoryReceiver | undefined {
    return this.blockedDirections.has(`${from}>${to}`) ? undefined : this.receivers.get(to);
  }
}
