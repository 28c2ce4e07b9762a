import type { Account, Route } from './types.js';

/** Regions in which a request may be processed. */
export type RegionRule =
  | { readonly type: 'any' }
  /** The route and the account have no region in common. */
  | { readonly type: 'none' }
  | {
      readonly type: 'only';
      readonly regions: ReadonlySet<string>;
      /** The same for equal sets of regions; contains none of the characters `/`, `[` and `]`. */
      readonly canonicalName: string;
    };

const ANY_REGION: RegionRule = { type: 'any' };

/** Replaces lone surrogates, which can't be encoded; rows of other writers may contain them. */
const toWellFormed = (text: string): string => Buffer.from(text).toString();

const createRule = (regions: readonly string[]): RegionRule => {
  if (regions.length === 0) return { type: 'none' };
  const sorted = [...new Set(regions)].sort();
  return {
    type: 'only',
    regions: new Set(sorted),
    canonicalName: sorted.map((region) => encodeURIComponent(toWellFormed(region))).join('+'),
  };
};

/**
 * Decides in which regions a request may be processed. If both its route and its account name regions, those that both
 * name are allowed.
 *
 * @example
 * const rule = decideRegionRule(route, account);
 * if (rule.type === 'none') return refuse('no_allowed_region');
 */
export const decideRegionRule = (
  route: Pick<Route, 'allowedRegions'>,
  account: Pick<Account, 'allowedRegions'> | undefined,
): RegionRule => {
  const { allowedRegions: routeRegions = [] } = route;
  const { allowedRegions: accountRegions = [] } = account ?? {};
  if (routeRegions.length === 0 && accountRegions.length === 0) return ANY_REGION;
  if (routeRegions.length === 0) return createRule(accountRegions);
  if (accountRegions.length === 0) return createRule(routeRegions);
  return createRule(routeRegions.filter((region) => accountRegions.includes(region)));
};

/** Whether a rule allows a region; a region that is not known is allowed only by a rule that allows any. */
export const isRegionAllowed = (rule: RegionRule, region: string | undefined): boolean => {
  switch (rule.type) {
    case 'any':
      return true;
    case 'none':
      return false;
    case 'only':
      return region !== undefined && rule.regions.has(region);
    default:
      return rule satisfies never;
  }
};

/** Whether two rules allow the same regions. */
export const areRulesEqual = (first: RegionRule, second: RegionRule): boolean =>
  first.type === 'only' && second.type === 'only'
    ? first.canonicalName === second.canonicalName
    : first.type === second.type;

/**
 * Lists the canonical names of all region rules that the requests of a configuration can have.
 *
 * @example
 * const names = listRegionRuleNames(configuration.routes, configuration.accounts);
 * if (!names.has('eu+us')) freeParts('eu+us');
 */
export const listRegionRuleNames = (
  routes: Iterable<Pick<Route, 'allowedRegions'>>,
  accounts: Iterable<Pick<Account, 'allowedRegions'>>,
): Set<string> => {
  const distinctAccounts = new Map<string, Pick<Account, 'allowedRegions'> | undefined>();
  // Public routes are used without an account.
  distinctAccounts.set('', undefined);
  for (const account of accounts)
    distinctAccounts.set(JSON.stringify(account.allowedRegions ?? []), account);
  const distinctRoutes = new Map<string, Pick<Route, 'allowedRegions'>>();
  for (const route of routes) distinctRoutes.set(JSON.stringify(route.allowedRegions ?? []), route);
  const names = new Set<string>();
  for (const route of distinctRoutes.values()) {
    for (const account of distinctAccounts.values()) {
      const rule = decideRegionRule(route, account);
      if (rule.type === 'only') names.add(rule.canonicalName);
    }
  }
  return names;
};
