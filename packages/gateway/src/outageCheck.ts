import { setTimeout as waitForTimer } from 'node:timers/promises';
import type { Clock, Random } from '@lovagearch/common';
import { MAX_OUTAGE_QUESTIONS, PEER_TIMEOUT_MS, PEERS_PER_READ } from './constants.js';
import type { ContinuitySource } from './peerContinuity.js';

export interface OutageCheckDependencies {
  /** Lists host and port of the peers, in any order. */
  readonly listPeers: () => readonly string[];
  readonly askPeer: ContinuitySource;
  readonly clock: Clock;
  readonly random: Random;
  /** Called once a peer shows that the store was available during the interruption. */
  readonly onRefuted: (evidence: OutageEvidence) => void;
  readonly onError: (error: unknown) => void;
  /** Timer, by default that of the process; simulations replace it. */
  readonly wait?: (delayMs: number) => Promise<void>;
}

/** What shows that the store was available while this node didn't reach it. */
export interface OutageEvidence {
  readonly peer: string;
  /** Time for which the peer has followed the registrations without an interruption, in milliseconds. */
  readonly uninterruptedMs: number;
  /** Time since the start of this node's interruption, in milliseconds. */
  readonly interruptedForMs: number;
}

/**
 * Finds out whether the store was away or only this node was cut off from it, as a node by itself can't tell. A peer that
 * followed the registrations all the time shows that endpoints could renew them.
 *
 * @example
 * const check = OutageCheck.create(dependencies);
 * if (clusterState.recordStoreRecovered(copyAgeMs)) check.start(clock.nowMs() - copyAgeMs);
 */
export class OutageCheck {
  /** Start of the interruption that is being checked. */
  private sinceMs: number | undefined;

  private constructor(private readonly dependencies: OutageCheckDependencies) {}

  static create(dependencies: OutageCheckDependencies): OutageCheck {
    return new OutageCheck(dependencies);
  }

  /**
   * Asks peers until one has the evidence, or the entries of live endpoints are back in any case.
   *
   * @param sinceMs clock reading at which the interruption began
   */
  start(sinceMs: number): void {
    this.run(sinceMs).catch(this.dependencies.onError);
  }

  private async run(sinceMs: number): Promise<void> {
    const { clock, onRefuted, wait = waitForTimer } = this.dependencies;
    this.sinceMs = sinceMs;
    for (let question = 0; question < MAX_OUTAGE_QUESTIONS; question++) {
      const startMs = clock.nowMs();
      const evidence = await this.askPeers(sinceMs);
      // A later interruption is checked by a run of its own.
      if (this.sinceMs !== sinceMs) return;
      if (evidence !== undefined) {
        onRefuted(evidence);
        return;
      }
      await wait(Math.max(0, PEER_TIMEOUT_MS - (clock.nowMs() - startMs)));
    }
  }

  private async askPeers(sinceMs: number): Promise<OutageEvidence | undefined> {
    const { listPeers, askPeer, clock, random } = this.dependencies;
    const peers = [...listPeers()].sort(() => random() - 0.5).slice(0, PEERS_PER_READ);
    const answers = await Promise.all(
      peers.map(async (peer): Promise<OutageEvidence> => {
        const uninterruptedMs = (await askPeer(peer)) ?? 0;
        return { peer, uninterruptedMs, interruptedForMs: clock.nowMs() - sinceMs };
      }),
    );
    return answers.find(
      ({ uninterruptedMs, interruptedForMs }) => uninterruptedMs >= interruptedForMs,
    );
  }
}
