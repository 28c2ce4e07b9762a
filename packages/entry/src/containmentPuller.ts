import { getRendezvousOwners, type Clock, type Logger, type NodeId } from '@lovagearch/common';
import { MAX_ENDPOINTS, MAX_FINGERPRINTS, type ContainmentSnapshot } from '@lovagearch/containment';
import type { PeerMesh } from '@lovagearch/peering';
import { z } from 'zod';
import { endpointSchema, fingerprintSchema, remainingMsSchema } from './containmentFields.js';
import { PeriodicTask } from './periodicTask.js';
import type { NodeComponent } from './types.js';

const PULL_TOPIC = 'containment.pull';
const PULL_TIMEOUT_MS = 1_000;
/** Number of peers queried; each holds all active entries. */
const PULL_PEER_COUNT = 2;
const CHECK_INTERVAL_MS = 1_000;
/** A process that was paused for longer than this may have missed events. */
const PROCESS_PAUSE_THRESHOLD_MS = 3_000;

const remainingMs = remainingMsSchema;
const snapshotSchema = z.object({
  entries: z
    .array(
      z.object({
        type: z.enum(['quarantined', 'suspect']),
        fingerprint: fingerprintSchema,
        endpoint: endpointSchema,
        isTrial: z.boolean(),
        remainingMs,
      }),
    )
    .max(MAX_FINGERPRINTS),
  faulty: z.array(z.object({ endpoint: endpointSchema, remainingMs })).max(MAX_ENDPOINTS),
});

export interface ContainmentPullerOptions {
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly log: Logger;
  readonly listLiveMembers: () => readonly NodeId[];
  readonly getSnapshot: () => ContainmentSnapshot;
  readonly applySnapshot: (snapshot: ContainmentSnapshot) => void;
}

/**
 * Pulls the active quarantines from peers after startup and after a pause of the process. Events are
 * sent only once, and a node that missed one could lose an engine to a request already known to
 * other nodes.
 *
 * @example
 * const puller = ContainmentPuller.start(options);
 */
export class ContainmentPuller implements NodeComponent {
  private isPullNeeded = true;

  private lastCheckMs: number;

  private timer: PeriodicTask | undefined;

  private constructor(private readonly options: ContainmentPullerOptions) {
    this.lastCheckMs = options.clock.nowMs();
  }

  static start(options: ContainmentPullerOptions): ContainmentPuller {
    const puller = new ContainmentPuller(options);
    options.mesh.registerHandler(PULL_TOPIC, z.object({}), () => options.getSnapshot());
    puller.timer = PeriodicTask.start(
      async () => puller.pullIfNeeded(),
      () => CHECK_INTERVAL_MS,
      options.log,
    );
    return puller;
  }

  async stop(): Promise<void> {
    await this.timer?.stop();
  }

  /** Pulls a snapshot if events may have been missed; retried on each check until a peer replies. */
  async pullIfNeeded(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.lastCheckMs > PROCESS_PAUSE_THRESHOLD_MS) this.isPullNeeded = true;
    this.lastCheckMs = nowMs;
    if (!this.isPullNeeded) return;
    const { listLiveMembers, mesh } = this.options;
    const others = listLiveMembers().filter((node) => node !== mesh.self);
    const peers = getRendezvousOwners(`containment/${mesh.self}`, others, PULL_PEER_COUNT);
    const results = await Promise.all(peers.map(async (peer) => this.pullFrom(peer)));
    if (results.includes(true)) this.isPullNeeded = false;
    // Waiting for the replies must not count as a pause of the process.
    this.lastCheckMs = this.options.clock.nowMs();
  }

  private async pullFrom(peer: NodeId): Promise<boolean> {
    const { applySnapshot: applyCopy, mesh } = this.options;
    const reply = await mesh.request(peer, PULL_TOPIC, {}, PULL_TIMEOUT_MS);
    const snapshot = snapshotSchema.safeParse(reply.unwrapOr(undefined));
    if (snapshot.success) applyCopy(snapshot.data);
    return snapshot.success;
  }
}
