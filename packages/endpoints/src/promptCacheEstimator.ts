import { BoundedMap, computeHash32 } from '@lovagearch/common';
import { MAX_TRACKED_PARTS, OWNER_CACHE_HIT_SHARE, CACHED_PART_TTL_MS } from './constants.js';
import type { PromptPart } from './types.js';

/** Returns the part that decides where a prompt belongs: the last one that other prompts share. */
export const getAffinityPart = (parts: readonly PromptPart[]): PromptPart | undefined =>
  parts[parts.length - 2] ?? parts[0];

/** Returns the endpoint that prompts with a part are sent to first, the same on every node. */
export const chooseAffinityOwner = (
  partId: string,
  endpointIds: readonly string[],
): string | undefined => {
  let owner: string | undefined;
  let best = -1;
  for (const id of endpointIds) {
    const score = computeHash32(`${partId}/${id}`);
    if (score > best || (score === best && owner !== undefined && id < owner)) {
      owner = id;
      best = score;
    }
  }
  return owner;
};

interface SentPart {
  readonly endpointId: string;
  readonly atMs: number;
}

/** Endpoints to which this process lately sent each prompt part. */
export class PromptCacheEstimator {
  private readonly parts = BoundedMap.create<string, SentPart>(MAX_TRACKED_PARTS);

  static create(): PromptCacheEstimator {
    return new PromptCacheEstimator();
  }

  recordSent(parts: readonly PromptPart[], salt: string, endpointId: string, nowMs: number): void {
    // The last part belongs to one request; it is of no use to others.
    for (const { id } of parts.slice(0, -1)) {
      this.parts.set(`${salt}/${id}`, { endpointId, atMs: nowMs });
    }
  }

  /** Returns the endpoint that this process lately sent a part to, if any. */
  findRecentEndpoint(partId: string, salt: string, nowMs: number): string | undefined {
    const remembered = this.parts.peek(`${salt}/${partId}`);
    if (remembered === undefined || nowMs - remembered.atMs >= CACHED_PART_TTL_MS) return undefined;
    return remembered.endpointId;
  }

  /**
   * Estimates the tokens of a prompt that an endpoint holds. Only an unbroken run of parts from the
   * beginning counts, as engines reuse nothing behind a gap.
   */
  estimateCachedTokens(
    parts: readonly PromptPart[],
    salt: string,
    endpointId: string,
    ownerId: string | undefined,
    nowMs: number,
  ): number {
    const ownerShare = endpointId === ownerId ? OWNER_CACHE_HIT_SHARE : 0;
    let tokens = 0;
    for (const part of parts.slice(0, -1)) {
      const remembered = this.parts.peek(`${salt}/${part.id}`);
      const isRecent =
        remembered?.endpointId === endpointId && nowMs - remembered.atMs < CACHED_PART_TTL_MS;
      const share = Math.max(isRecent ? 1 : 0, ownerShare);
      if (share === 0) return tokens;
      tokens += part.tokens * share;
    }
    return tokens;
  }
}
