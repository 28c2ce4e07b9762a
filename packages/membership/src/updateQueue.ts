import type { NodeId } from '@lovagearch/common';

/** Number of times that an update is sent per doubling of the member count. */
const SENDS_PER_DOUBLING = 3;

/**
 * Queue of members whose updates are still being disseminated. Each update is sent a number of
 * times that grows with the logarithm of the member count, so that it reaches all members with high
 * probability.
 */
export class UpdateQueue {
  private readonly sendCounts = new Map<NodeId, number>();

  static create(): UpdateQueue {
    return new UpdateQueue();
  }

  add(id: NodeId): void {
    this.sendCounts.set(id, 0);
  }

  remove(id: NodeId): void {
    this.sendCounts.delete(id);
  }

  /** Returns the ids that were sent least often and counts them as sent. */
  take(count: number, memberCount: number): NodeId[] {
    const limit = SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 1));
    const ids = [...this.sendCounts].sort((a, b) => a[1] - b[1]).slice(0, count);
    for (const [id, sendCount] of ids) {
      if (sendCount + 1 >= limit) this.sendCounts.delete(id);
      else this.sendCounts.set(id, sendCount + 1);
    }
    return ids.map(([id]) => id);
  }
}
