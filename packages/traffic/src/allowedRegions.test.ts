import fc from 'fast-check';
import t from 'tap';
import { decideRegionRule, isRegionAllowed, listRegionRuleNames } from './index.js';

const REGIONS = ['eu', 'us', 'a/b[c]', 'a+b', '\ud800'];
const regionList = fc.option(fc.uniqueArray(fc.constantFrom(...REGIONS)), { nil: undefined });
const place = regionList.map((regions) =>
  regions === undefined ? {} : { allowedRegions: regions },
);

// Guards against a request that leaves the regions of its account because its route allows more, or the reverse.
t.test('a region is allowed only if the route and the account allow it', async () => {
  const isAllowedBy = (regions: readonly string[] | undefined, region: string) =>
    regions === undefined || regions.length === 0 || regions.includes(region);
  fc.assert(
    fc.property(place, place, (route, account) => {
      const rule = decideRegionRule(route, account);
      for (const region of REGIONS) {
        const expected =
          isAllowedBy(route.allowedRegions, region) && isAllowedBy(account.allowedRegions, region);
        if (isRegionAllowed(rule, region) !== expected) return false;
      }
      // A zone that the settings don't name is nowhere.
      return isRegionAllowed(rule, undefined) === (rule.type === 'any');
    }),
  );
});

// Guards against parts shared between different sets of regions, or freed while a request can still read them.
t.test('a rule has one name, which the configuration lists', async () => {
  fc.assert(
    fc.property(fc.array(place), fc.array(place), (routes, accounts) => {
      const names = listRegionRuleNames(routes, accounts);
      const regionsByName = new Map<string, string>();
      for (const route of routes) {
        for (const account of [undefined, ...accounts]) {
          const rule = decideRegionRule(route, account);
          if (rule.type !== 'only') continue;
          const regions = JSON.stringify([...rule.regions].sort());
          if (!names.has(rule.canonicalName) || /[[\]/]/.test(rule.canonicalName)) return false;
          if ((regionsByName.get(rule.canonicalName) ?? regions) !== regions) return false;
          regionsByName.set(rule.canonicalName, regions);
        }
      }
      return regionsByName.size === names.size;
    }),
  );
});
