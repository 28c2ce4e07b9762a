import type { NodeId } from '@lovagearch/common';

/** Times that an update is sent for each doubling of the number of members. */
const SENDS_PER_DOUBLING = 3;

/**
 * Ids of members whose change is still to be spread. Each is sent a number of times that grows
 * with the logarithm of the number of members, which reaches all of them with high probability.
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

  /** Takes the ids that were sent least often. */
  take(count: number, memberCount: number): NodeId[] {
    const limit = SENDS_PER_DOUBLING * Math.ceil(Math.log2(memberCount + 1));
    const ids = [...this.sendCounts].sort((a, b) => a[1] - b[1]).slice(0, count);
    for (const [id, sends] of ids) {
      if (sends + 1 >= limit) this.sendCounts.delete(id);
      else this.sendCounts.set(id, sends + 1);
    }
    return ids.map(([id]) => id);
  }
}
