import { getRendezvousOwners, type Clock, type Logger, type NodeId } from '@lovagearch/common';
import { MAX_ENDPOINTS, MAX_FINGERPRINTS, type ContainmentSnapshot } from '@lovagearch/containment';
import type { PeerMesh } from '@lovagearch/peering';
import { z } from 'zod';
import { endpointSchema, fingerprintSchema, remainingMsSchema } from './containmentFields.js';
import { PeriodicTask } from './periodicTask.js';
import type { NodeComponent } from './types.js';

const TOPIC = 'containment.pull';
const PULL_TIMEOUT_MS = 1_000;
/** Number of peers queried; each holds all active entries. */
const PULL_PEERS = 2;
const CHECK_INTERVAL_MS = 1_000;
/** A process that was paused for longer than this may have missed events. */
const PAUSE_MS = 3_000;

const remainingMs = remainingMsSchema;
const copySchema = z.object({
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

export interface ContainmentPullOptions {
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly log: Logger;
  readonly listLiveMembers: () => readonly NodeId[];
  readonly getCopy: () => ContainmentSnapshot;
  readonly applyCopy: (copy: ContainmentSnapshot) => void;
}

/**
 * Pulls the active quarantines from peers after startup and after a pause of the process. Events are
 * sent only once, and a node that missed one could lose an engine to a request already known to
 * other nodes.
 *
 * @example
 * const puller = ContainmentPuller.start(options);
 */
export class ContainmentPull implements NodeComponent {
  private isNeeded = true;

  private lastMs: number;

  private timer: PeriodicTask | undefined;

  private constructor(private readonly options: ContainmentPullOptions) {
    this.lastMs = options.clock.nowMs();
  }

  static start(options: ContainmentPullOptions): ContainmentPull {
    const pull = new ContainmentPull(options);
    options.mesh.registerHandler(TOPIC, z.object({}), () => options.getCopy());
    pull.timer = PeriodicTask.start(
      async () => pull.runCheck(),
      () => CHECK_INTERVAL_MS,
      options.log,
    );
    return pull;
  }

  async stop(): Promise<void> {
    await this.timer?.stop();
  }

  /** Pulls a snapshot if events may have been missed; retried on each check until a peer replies. */
  async runCheck(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.lastMs > PAUSE_MS) this.isNeeded = true;
    this.lastMs = nowMs;
    if (!this.isNeeded) return;
    const { listLiveMembers, mesh } = this.options;
    const others = listLiveMembers().filter((node) => node !== mesh.self);
    const peers = getRendezvousOwners(`containment/${mesh.self}`, others, PULL_PEERS);
    const results = await Promise.all(peers.map(async (peer) => this.pullFrom(peer)));
    if (results.includes(true)) this.isNeeded = false;
    // Waiting for the replies must not count as a pause of the process.
    this.lastMs = this.options.clock.nowMs();
  }

  private async pullFrom(peer: NodeId): Promise<boolean> {
    const { applyCopy, mesh } = this.options;
    const answer = await mesh.request(peer, TOPIC, {}, PULL_TIMEOUT_MS);
    const copy = copySchema.safeParse(answer.unwrapOr(undefined));
    if (copy.success) applyCopy(copy.data);
    return copy.success;
  }
}
