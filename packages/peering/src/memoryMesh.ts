import { getErrorMessage, type NodeId } from '@lovagearch/common';
import { pack, unpack } from 'msgpackr';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { MemoryNetwork } from './memoryNetwork.js';
import { TrafficMeter, type TopicTraffic } from './trafficMeter.js';
import type { PeerError, PeerHandler, PeerMesh } from './types.js';

interface Topic {
  readonly schema: z.ZodType;
  readonly handler: PeerHandler<unknown>;
}

/** Estimated frame size without the payload: kind, id, topic and WebSocket header. */
const FRAME_OVERHEAD_BYTES = 40;

/** `PeerMesh` of one node of a `MemoryNetwork`. */
export class MemoryMesh implements PeerMesh {
  private readonly topics = new Map<string, Topic>();

  private readonly traffic = TrafficMeter.create();

  private constructor(
    readonly self: NodeId,
    private readonly network: MemoryNetwork,
  ) {}

  static create(self: NodeId, network: MemoryNetwork): MemoryMesh {
    const mesh = new MemoryMesh(self, network);
    network.addNode(self, mesh);
    return mesh;
  }

  readonly setAddress = (): void => undefined;

  readonly removeAddress = (): void => undefined;

  readonly send = (to: NodeId, topic: string, payload: unknown): void => {
    const bytes = pack(payload);
    if (to !== this.self) this.traffic.recordSent(topic, bytes.length + FRAME_OVERHEAD_BYTES);
    const peer = this.network.getReceiver(this.self, to);
    peer?.receive(this.self, topic, bytes).catch(() => undefined);
  };

  readonly request = (
    to: NodeId,
    topic: string,
    payload: unknown,
    timeoutMs: number,
  ): ResultAsync<unknown, PeerError> =>
    new ResultAsync(this.runRequest(to, topic, payload, timeoutMs));

  readonly identifyPeer = (): ResultAsync<NodeId, PeerError> =>
    new ResultAsync(Promise.resolve(err({ type: 'unknown_peer' })));

  readonly registerHandler = <Schema extends z.ZodType>(
    topic: string,
    schema: Schema,
    handler: PeerHandler<z.infer<Schema>>,
  ): void => {
    this.topics.set(topic, { schema, handler: handler as PeerHandler<unknown> });
  };

  readonly getTraffic = (): { readonly sentBytes: number; readonly receivedBytes: number } =>
    this.traffic.getTotals();

  /** Messages and bytes per topic. */
  readonly listTopicTraffic = (): readonly TopicTraffic[] => this.traffic.listTopics();

  readonly close = async (): Promise<void> => {
    this.network.removeNode(this.self);
  };

  /** Handles a message from a peer and returns the encoded reply. */
  async receive(
    from: NodeId,
    topic: string,
    bytes: Uint8Array,
  ): Promise<Result<Uint8Array, PeerError>> {
    if (from !== this.self) this.traffic.recordReceived(topic, bytes.length + FRAME_OVERHEAD_BYTES);
    const registered = this.topics.get(topic);
    const payload = registered?.schema.safeParse(unpack(bytes));
    if (registered === undefined || payload?.success !== true) {
      return err({ type: 'rejected', reason: 'bad_payload', message: `topic ${topic}` });
    }
    try {
      return ok(pack((await registered.handler(from, payload.data)) ?? null));
    } catch (error) {
      return err({ type: 'rejected', reason: 'handler_failed', message: getErrorMessage(error) });
    }
  }

  /** Records the bytes of a reply that this node sent. */
  recordReply(topic: string, bytes: number): void {
    this.traffic.recordSent(topic, bytes);
  }

  private async runRequest(
    to: NodeId,
    topic: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    const peer = this.network.getReceiver(this.self, to);
    if (peer === undefined) return err({ type: 'timeout', timeoutMs });
    const bytes = pack(payload);
    if (to !== this.self) this.traffic.recordSent(topic, bytes.length + FRAME_OVERHEAD_BYTES);
    const reply = await peer.receive(this.self, topic, bytes);
    if (reply.isErr()) return err(reply.error);
    const replyBytes = reply.value.length + FRAME_OVERHEAD_BYTES;
    if (to !== this.self) {
      this.traffic.recordReceived(topic, replyBytes);
      peer.recordReply(topic, replyBytes);
    }
    return ok(unpack(reply.value));
  }
}
