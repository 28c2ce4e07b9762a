import type { NodeId } from '@lovagearch/common';
import type { Result } from 'neverthrow';
import type { PeerError } from './types.js';

/** The receiving side of a node in a `MemoryNetwork`. */
export interface MemoryReceiver {
  readonly receive: (
    from: NodeId,
    topic: string,
    bytes: Uint8Array,
  ) => Promise<Result<Uint8Array, PeerError>>;
  readonly recordReply: (topic: string, bytes: number) => void;
}

/**
 * Connects nodes inside one process, with the real codec and byte counts but without sockets. Tests
 * use it, and the slope driver runs hundreds of nodes with it.
 *
 * @example
 * const network = MemoryNetwork.create();
 * const mesh = MemoryMesh.create('node-1' as NodeId, network);
 */
export class MemoryNetwork {
  private constructor(
    private readonly receivers: Map<NodeId, MemoryReceiver>,
    private readonly cut: Set<string>,
  ) {}

  static create(): MemoryNetwork {
    return new MemoryNetwork(new Map(), new Set());
  }

  addNode(node: NodeId, receiver: MemoryReceiver): void {
    this.receivers.set(node, receiver);
  }

  /** Removes a node, as if its process had ended. */
  removeNode(node: NodeId): void {
    this.receivers.delete(node);
  }

  /** Drops all messages between two nodes until `restore`. */
  cutBetween(a: NodeId, b: NodeId): void {
    this.cut.add(`${a}>${b}`).add(`${b}>${a}`);
  }

  /** Lets all messages pass again. */
  restore(): void {
    this.cut.clear();
  }

  getReceiver(from: NodeId, to: NodeId): MemoryReceiver | undefined {
    return this.cut.has(`${from}>${to}`) ? undefined : this.receivers.get(to);
  }
}
