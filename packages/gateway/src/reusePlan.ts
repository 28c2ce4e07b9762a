import {
  getAffinityPart,
  type Endpoint,
  type PromptPart,
  type PromptPartStore,
} from '@lovagearch/endpoints';
import { chooseStore } from '@lovagearch/reuse';
import {
  isRegionAllowed,
  type Account,
  type CacheStore,
  type EngineCapacity,
  type RegionRule,
} from '@lovagearch/traffic';
import { MIN_STORED_TOKENS } from './constants.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ChosenEndpoint } from './placeRequest.js';
import type { RequestHead } from './types.js';

/** Where an engine loads and saves the cached parts of a prompt, and the salt and weights they belong to. */
export interface ReusePlan {
  readonly cacheSalt: string | undefined;
  readonly expectedWeights: number | undefined;
  readonly fetchFrom: readonly (string | undefined)[];
  readonly saveTo: readonly (string | undefined)[];
}

/**
 * Returns the cache salt of a request. Engines and stores share cached parts only under the same salt.
 * The weight version in it separates parts that were computed with other weights, and the account name
 * separates an isolated account from all others. The allowed regions separate parts that may not leave them.
 */
export const createCacheSalt = (
  account: Account | undefined,
  weightVersion: number | undefined,
  regionRule: RegionRule,
): string | undefined => {
  const regions = regionRule.type === 'only' ? `[${regionRule.canonicalName}]` : undefined;
  const version =
    weightVersion === undefined && regions === undefined
      ? undefined
      : `v${weightVersion ?? ''}${regions ?? ''}`;
  if (account?.isIsolated !== true) return version;
  return `${version ?? 'v'}/${account.name}`;
};

/** Returns the weight version in a salt, or undefined if `createCacheSalt` did not create it. */
export const parseSaltVersion = (salt: string): number | undefined => {
  const match = /^v(\d{1,15})(\[|\/|$)/.exec(salt);
  return match?.[1] === undefined ? undefined : Number(match[1]);
};

/** Returns the canonical name of the regions in a salt, or undefined if it has none. */
export const parseSaltRegions = (salt: string): string | undefined =>
  /^v\d{0,15}\[([^\]/]+)\](\/|$)/.exec(salt)?.[1];

/** Lists the store VMs that may hold parts of requests with a region rule. */
const listAllowedStores = (
  { clusterState, settings }: GatewayContext,
  regionRule: RegionRule,
): readonly CacheStore[] => {
  const stores = clusterState.trafficRules?.cacheStores ?? [];
  if (regionRule.type === 'any') return stores;
  return stores.filter(({ zone }) => isRegionAllowed(regionRule, settings.regionByZone.get(zone)));
};

/** Returns whether an endpoint has the latest target version of the weights, or a newer one. */
const hasLatestWeights = (context: GatewayContext, endpoint: Endpoint, model: string): boolean => {
  const weightTarget = context.clusterState.findWeightTarget(model);
  return (
    weightTarget === undefined || (endpoint.record.weights.get(model) ?? 0) >= weightTarget.version
  );
};

/** Returns the store VM for the shared part of a prompt, with the estimated transfer times. */
export const findStoreReach = (
  context: GatewayContext,
  head: RequestHead,
  account: Account | undefined,
  engine: EngineCapacity | undefined,
  regionRule: RegionRule,
): PromptPartStore | undefined => {
  const part = getAffinityPart(head.promptParts);
  if (part === undefined || engine === undefined || head.model === undefined) return undefined;
  // The store is chosen without the salt, so that it stays the same when the weights change.
  const store = chooseStore(part.id, listAllowedStores(context, regionRule));
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
      const salt = createCacheSalt(account, weightVersion, regionRule);
      return salt !== undefined && index?.canRead(salt, part.id, nowMs) === true;
    },
    transferLatencyMs: store.firstMs * factor,
    msPerToken: (bitsPerToken / linkBitsPerMs) * factor,
  };
};

/** Returns another endpoint with the same weights that probably has a part in its cache. */
const findPartHolder = (
  context: GatewayContext,
  part: PromptPart,
  salt: string,
  { endpoint, placement: { ownerId }, regionRule }: ChosenEndpoint,
  model: string,
): Endpoint | undefined => {
  const { clusterState, clock, settings } = context;
  const nowMs = clock.nowMs();
  const holderId = clusterState.promptMemory.findRecentEndpoint(part.id, salt, nowMs) ?? ownerId;
  if (holderId === undefined || holderId === endpoint.record.id) return undefined;
  const holder = clusterState.endpoints.findEndpoint(holderId);
  // A transfer from an endpoint that doesn't respond would delay the request.
  if (holder === undefined || holder.isSuspended(nowMs)) return undefined;
  // The owner was chosen, or the part sent there, possibly under an earlier configuration.
  const region = settings.regionByZone.get(holder.record.zone);
  if (!isRegionAllowed(regionRule, region)) return undefined;
  if (clusterState.evacuatedZones.has(holder.record.zone)) return undefined;
  const hasSameWeights = holder.record.weights.get(model) === endpoint.record.weights.get(model);
  return hasSameWeights ? holder : undefined;
};

/**
 * Plans the cache reuse of a prompt at an endpoint. A shared part is loaded from its store if the store
 * has it completely and is not too slow to reach, otherwise from an endpoint that probably has it. It is saved to its store if the
 * store doesn't have it yet.
 */
export const planReuse = (
  context: GatewayContext,
  head: RequestHead,
  account: Account | undefined,
  chosen: ChosenEndpoint,
): ReusePlan => {
  const { endpoint, placement, regionRule } = chosen;
  const { suspensionClock } = context;
  const { model, promptParts } = head;
  const weights = model === undefined ? undefined : endpoint.record.weights.get(model);
  const cacheSalt = createCacheSalt(account, weights, regionRule);
  const plan = { cacheSalt, expectedWeights: weights, fetchFrom: [], saveTo: [] };
  if (model === undefined || cacheSalt === undefined) return plan;
  // Parts of weights that are being replaced are still loaded, but no longer saved.
  const isCurrent = hasLatestWeights(context, endpoint, model);
  const stores = listAllowedStores(context, regionRule);
  const memorySalt = createCacheSalt(account, undefined, regionRule) ?? '';
  const nowMs = suspensionClock.nowMs();
  const fetchFrom: (string | undefined)[] = [];
  const saveTo: (string | undefined)[] = [];
  for (const [index, part] of promptParts.entries()) {
    // The last part is specific to this request and not shared.
    const isStorable = index < promptParts.length - 1 && part.tokens >= MIN_STORED_TOKENS;
    const store = isStorable ? chooseStore(part.id, stores) : undefined;
    const storeIndex = store === undefined ? undefined : context.findCacheStoreIndex(store.address);
    const isStored = storeIndex?.canRead(cacheSalt, part.id, nowMs) === true;
    const canRead = isStored && placement.isTransferWorthwhile;
    const shouldSave = isCurrent && storeIndex?.shouldSave(cacheSalt, part.id, nowMs) === true;
    if (shouldSave) storeIndex.recordSave(cacheSalt, part.id, nowMs);
    const holder =
      canRead || !isStorable ? undefined : findPartHolder(context, part, memorySalt, chosen, model);
    fetchFrom.push(canRead ? store?.address : holder?.record.address);
    saveTo.push(shouldSave ? store?.address : undefined);
  }
  return { ...plan, fetchFrom, saveTo };
};
