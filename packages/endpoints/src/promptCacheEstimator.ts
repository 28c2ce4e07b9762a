import { BoundedMap, computeHash32 } from '@lovagearch/common';
import {
  CACHED_PART_TTL_MS,
  MAX_TRACKED_ENDPOINTS,
  MAX_TRACKED_PARTS,
  OWNER_CACHE_HIT_SHARE,
} from './constants.js';
import type { PromptPart } from './types.js';

/** Returns the part that determines a prompt's affinity owner: the last one that can be shared. */
export const getAffinityPart = (parts: readonly PromptPart[]): PromptPart | undefined =>
  parts[parts.length - 2] ?? parts[0];

/** Chooses the preferred endpoint of a prompt part by rendezvous hashing, the same on every node. */
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
  /** Tokens that this process had placed at the endpoint until then. */
  readonly placedTokens: number;
}

export interface CacheQuery {
  readonly parts: readonly PromptPart[];
  readonly salt: string;
  readonly endpointId: string;
  readonly ownerId: string | undefined;
  /**
   * Tokens that this process can place at the endpoint before the engine, whose least recently used parts yield, has
   * dropped what it got before.
   */
  readonly retainedTokens: number;
  readonly nowMs: number;
}

/** Estimates cached prompt tokens from the endpoint that this process last sent each part to. */
export class PromptCacheEstimator {
  private readonly parts = BoundedMap.create<string, SentPart>(MAX_TRACKED_PARTS);

  private readonly placedTokens = BoundedMap.create<string, number>(MAX_TRACKED_ENDPOINTS);

  static create(): PromptCacheEstimator {
    return new PromptCacheEstimator();
  }

  /** @param newTokens tokens of the request that the endpoint did not have before */
  recordSent(
    parts: readonly PromptPart[],
    salt: string,
    endpointId: string,
    newTokens: number,
    nowMs: number,
  ): void {
    const placedTokens = (this.placedTokens.peek(endpointId) ?? 0) + newTokens;
    this.placedTokens.set(endpointId, placedTokens);
    // The last part is specific to one request and can't be reused by others.
    for (const { id } of parts.slice(0, -1)) {
      this.parts.set(`${salt}/${id}`, { endpointId, atMs: nowMs, placedTokens });
    }
  }

  /** Returns the endpoint that this process recently sent a part to, if any. */
  findRecentEndpoint(partId: string, salt: string, nowMs: number): string | undefined {
    const sent = this.parts.peek(`${salt}/${partId}`);
    if (sent === undefined || nowMs - sent.atMs >= CACHED_PART_TTL_MS) return undefined;
    return sent.endpointId;
  }

  /**
   * Estimates the tokens of a prompt that an endpoint has cached. Only a contiguous prefix of parts
   * counts, because engines can't reuse parts after a gap.
   */
  estimateCachedTokens({
    parts,
    salt,
    endpointId,
    ownerId,
    retainedTokens,
    nowMs,
  }: CacheQuery): number {
    const placedTokens = this.placedTokens.peek(endpointId) ?? 0;
    const ownerShare = endpointId === ownerId ? OWNER_CACHE_HIT_SHARE : 0;
    let tokens = 0;
    for (const part of parts.slice(0, -1)) {
      const sent = this.parts.peek(`${salt}/${part.id}`);
      const isRecent =
        sent?.endpointId === endpointId &&
        nowMs - sent.atMs < CACHED_PART_TTL_MS &&
        placedTokens - sent.placedTokens <= retainedTokens;
      const share = Math.max(isRecent ? 1 : 0, ownerShare);
      if (share === 0) return tokens;
      tokens += part.tokens * share;
    }
    return tokens;
  }
}
