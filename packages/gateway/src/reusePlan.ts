import {
  getAffinityPart,
  type Endpoint,
  type Placement,
  type PromptPart,
  type PromptPartStore,
} from '@lovagearch/endpoints';
import { chooseStore } from '@lovagearch/reuse';
import type { Account, EngineCapacity } from '@lovagearch/traffic';
import { MIN_STORED_TOKENS } from './constants.js';
import type { GatewayContext } from './gatewayContext.js';
import type { RequestHead } from './types.js';

/** Where an engine finds and keeps the parts of a prompt, and what the result is valid for. */
export interface ReusePlan {
  readonly cacheSalt: string | undefined;
  readonly expectedWeights: number | undefined;
  readonly fetchFrom: readonly (string | undefined)[];
  readonly saveTo: readonly (string | undefined)[];
}

/**
 * Returns the cache salt of a request. Engines and stores find cached parts only under the same salt;
 * the weight version in it keeps parts of other weights out of stores, and the account's name walls an
 * isolated account off.
 */
export const createCacheSalt = (
  account: Account | undefined,
  weightVersion: number | undefined,
): string | undefined => {
  const version = weightVersion === undefined ? undefined : `v${weightVersion}`;
  if (account?.isIsolated !== true) return version;
  return `${version ?? 'v'}/${account.name}`;
};

/** Returns the weight version of a salt, or undefined if this system did not make it. */
export const parseSaltVersion = (salt: string): number | undefined => {
  const match = /^v(\d{1,15})(\/|$)/.exec(salt);
  return match?.[1] === undefined ? undefined : Number(match[1]);
};

/** Whether the weights of an endpoint are the newest that were named. */
const hasLatestWeights = (context: GatewayContext, endpoint: Endpoint, model: string): boolean => {
  const named = context.clusterState.findWeightTarget(model);
  return named === undefined || (endpoint.record.weights.get(model) ?? 0) >= named.version;
};

/** Returns the store VM of a prompt's shared part, with the time that a transfer takes. */
export const findStoreReach = (
  context: GatewayContext,
  head: RequestHead,
  account: Account | undefined,
  engine: EngineCapacity | undefined,
): PromptPartStore | undefined => {
  const part = getAffinityPart(head.promptParts);
  if (part === undefined || engine === undefined || head.model === undefined) return undefined;
  // The store doesn't depend on the salt, so that a new weight version moves no prompt.
  const store = chooseStore(part.id, context.clusterState.trafficRules?.cacheStores ?? []);
  if (store === undefined) return undefined;
  const index = context.findCacheStoreIndex(store.address);
  const nowMs = context.suspensionClock.nowMs();
  const bitsPerToken = engine.bytesPerToken * 8;
  const linkBitsPerMs = Math.max(1, Math.min(store.linkMbps, engine.linkMbps)) * 1_000;
  const factor = context.transferMeter.getSlowdownFactor(store.address, context.clock.nowMs());
  return {
    address: store.address,
    zone: store.zone,
    hasPartsFor: (weightVersion) => {
      const salt = createCacheSalt(account, weightVersion);
      return salt !== undefined && index?.canRead(salt, part.id, nowMs) === true;
    },
    transferLatencyMs: store.firstMs * factor,
    msPerToken: (bitsPerToken / linkBitsPerMs) * factor,
  };
};

/** Returns another endpoint that probably has a part, with the same weights. */
const findPartHolder = (
  context: GatewayContext,
  part: PromptPart,
  salt: string,
  endpoint: Endpoint,
  ownerId: string | undefined,
  model: string,
): Endpoint | undefined => {
  const { clusterState: beliefs, clock } = context;
  const nowMs = clock.nowMs();
  const holderId = beliefs.promptMemory.findRecentEndpoint(part.id, salt, nowMs) ?? ownerId;
  if (holderId === undefined || holderId === endpoint.record.id) return undefined;
  const holder = beliefs.endpoints.findEndpoint(holderId);
  // A transfer from an endpoint that doesn't answer holds the request up.
  if (holder === undefined || holder.isSuspended(nowMs)) return undefined;
  const hasSameWeights = holder.record.weights.get(model) === endpoint.record.weights.get(model);
  return hasSameWeights ? holder : undefined;
};

/**
 * Plans the reuse of a prompt at an endpoint: each shared part is read from its store if it is complete
 * there, else from the endpoint that probably has it, and kept at its store if it isn't there yet.
 */
export const planReuse = (
  context: GatewayContext,
  head: RequestHead,
  account: Account | undefined,
  endpoint: Endpoint,
  { ownerId, transferMs }: Placement,
): ReusePlan => {
  const { clusterState: beliefs, suspensionClock } = context;
  const { model, promptParts: parts } = head;
  const weights = model === undefined ? undefined : endpoint.record.weights.get(model);
  const cacheSalt = createCacheSalt(account, weights);
  const plan = { cacheSalt, expectedWeights: weights, fetchFrom: [], saveTo: [] };
  if (model === undefined || cacheSalt === undefined) return plan;
  // Parts of weights that are being replaced are read as long as they are there, but not kept.
  const isCurrent = hasLatestWeights(context, endpoint, model);
  const stores = beliefs.trafficRules?.cacheStores ?? [];
  const memorySalt = createCacheSalt(account, undefined) ?? '';
  const nowMs = suspensionClock.nowMs();
  const fetchFrom: (string | undefined)[] = [];
  const saveTo: (string | undefined)[] = [];
  for (const [index, part] of parts.entries()) {
    // The last part belongs to one request only.
    const isKept = index < parts.length - 1 && part.tokens >= MIN_STORED_TOKENS;
    const store = isKept ? chooseStore(part.id, stores) : undefined;
    const storeIndex = store === undefined ? undefined : context.findCacheStoreIndex(store.address);
    const isStored = storeIndex?.canRead(cacheSalt, part.id, nowMs) === true;
    const canRead = isStored && transferMs > 0;
    const shouldSave = isCurrent && storeIndex?.shouldSave(cacheSalt, part.id, nowMs) === true;
    if (shouldSave) storeIndex.recordSave(cacheSalt, part.id, nowMs);
    const holder =
      isStored || !isKept
        ? undefined
        : findPartHolder(context, part, memorySalt, endpoint, ownerId, model);
    fetchFrom.push(canRead ? store?.address : holder?.record.address);
    saveTo.push(shouldSave ? store?.address : undefined);
  }
  return { ...plan, fetchFrom, saveTo };
};
