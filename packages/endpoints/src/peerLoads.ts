import { PEER_LOAD_MAX_AGE_MS } from './constants.js';
import type { LoadDigestEntry } from './loadDigest.js';

interface PeerLoad {
  readonly entry: LoadDigestEntry;
  readonly atMs: number;
}

/** Load that the peers of this node have placed on one endpoint, as far as their digests are recent. */
export interface PeerLoadSum {
  readonly active: number;
  readonly activeTokens: number;
  readonly pendingTokens: number;
  /** How far the oldest request without a first byte exceeds its expected time; 0 if none does. */
  readonly oldestWaitMs: number;
}

/** The last digest entry of each peer about one endpoint. */
export class PeerLoads {
  private readonly loads = new Map<string, PeerLoad>();

  static create(): PeerLoads {
    return new PeerLoads();
  }

  record(peer: string, entry: LoadDigestEntry, nowMs: number): void {
    this.loads.set(peer, { entry, atMs: nowMs });
  }

  sum(nowMs: number): PeerLoadSum {
    let active = 0;
    let activeTokens = 0;
    let pendingTokens = 0;
    let oldestWaitMs = 0;
    for (const [peer, { entry, atMs }] of this.loads) {
      if (nowMs - atMs >= PEER_LOAD_MAX_AGE_MS) {
        this.loads.delete(peer);
        continue;
      }
      active += entry.active;
      activeTokens += entry.activeTokens;
      pendingTokens += entry.pendingTokens;
      if (entry.oldestWaitMs > 0)
        oldestWaitMs = Math.max(oldestWaitMs, entry.oldestWaitMs + nowMs - atMs);
    }
    return { active, activeTokens, pendingTokens, oldestWaitMs };
  }
}
