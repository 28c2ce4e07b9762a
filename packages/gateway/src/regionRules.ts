import { decideRegionRule, type Account, type RegionRule, type Route } from '@lovagearch/traffic';
import type { GatewayContext } from './gatewayContext.js';
import type { RequestHead } from './types.js';

/**
 * Returns in which regions a request may be processed according to the current configuration, which may be a later one
 * than that by which the request was routed. A route or account that was removed since keeps its regions.
 *
 * @example
 * const regionRule = findRegionRule(context, head, route, account);
 * if (!areRulesEqual(regionRule, chosen.regionRule)) withdraw();
 */
export const findRegionRule = (
  { clusterState: { trafficRules } }: Pick<GatewayContext, 'clusterState'>,
  { host, path, key }: RequestHead,
  route: Route,
  account: Account | undefined,
): RegionRule => {
  const currentRoute = trafficRules?.findRoute(host, path) ?? route;
  if (account === undefined) return decideRegionRule(currentRoute, undefined);
  const byKey = key === undefined ? undefined : trafficRules?.findAccount(key);
  const currentAccount = byKey ?? trafficRules?.findAccountByName(account.name) ?? account;
  return decideRegionRule(currentRoute, currentAccount);
};
