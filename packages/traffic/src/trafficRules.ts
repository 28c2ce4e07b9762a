import { listRegionRuleNames } from './allowedRegions.js';
import type {
  Account,
  CacheStore,
  CallerLimits,
  Route,
  RouteTarget,
  Service,
  TrafficConfiguration,
} from './types.js';

const listStreamServices = (routes: readonly Route[]): string[] => {
  const streaming = routes.filter(({ kind }) => kind === 'streaming');
  return [...new Set(streaming.flatMap(({ targets }) => targets.map(({ service }) => service)))];
};

/** Lookups in one version of the configuration; their cost doesn't grow with the number of routes. */
export class TrafficRules {
  private constructor(
    readonly version: number,
    readonly limits: CallerLimits,
    /** False if the configuration has no accounts and requests need no API key. */
    readonly hasAccounts: boolean,
    private readonly routesByHost: ReadonlyMap<string, ReadonlyMap<string, Route>>,
    private readonly accountsByKey: ReadonlyMap<string, Account>,
    private readonly services: ReadonlyMap<string, Service>,
    readonly cacheStores: readonly CacheStore[],
    private readonly accountsByName: ReadonlyMap<string, Account>,
    /** Canonical names of the region rules that requests can have. */
    readonly regionRuleNames: ReadonlySet<string>,
    /** Services that streaming routes lead to. */
    readonly streamServices: readonly string[],
  ) {}

  /**
   * @example
   * const rules = TrafficRules.create(configuration);
   * const route = rules.findRoute('pule25.example', '/puxa400/2f');
   */
  static create(configuration: TrafficConfiguration): TrafficRules {
    const routesByHost = new Map<string, Map<string, Route>>();
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = routesByHost.get(host) ?? new Map<string, Route>();
      routes.set(route.prefix, route);
      routesByHost.set(host, routes);
    }
    const accountsByKey = new Map<string, Account>();
    const accounts = configuration.accounts ?? [];
    for (const account of accounts) {
      for (const key of account.keys) accountsByKey.set(key, account);
    }
    return new TrafficRules(
      configuration.version,
      configuration.limits,
      configuration.accounts !== undefined,
      routesByHost,
      accountsByKey,
      new Map(configuration.services.map((service) => [service.name, service])),
      configuration.cacheStores,
      new Map(accounts.map((account) => [account.name, account])),
      listRegionRuleNames(configuration.routes, accounts),
      listStreamServices(configuration.routes),
    );
  }

  /** Finds an account whose keys may have changed. */
  findAccountByName(name: string): Account | undefined {
    return this.accountsByName.get(name);
  }

  /** Finds the route with the longest matching path prefix; the query string is ignored. */
  findRoute(host: string, pathWithQuery: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase());
    if (routes === undefined) return undefined;
    const queryStart = pathWithQuery.indexOf('?');
    const path = queryStart < 0 ? pathWithQuery : pathWithQuery.slice(0, queryStart);
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      // lastIndexOf treats a negative position as 0 and would find the first slash again.
      if (end === 0) return undefined;
    }
    return undefined;
  }

  findAccount(key: string): Account | undefined {
    return this.accountsByKey.get(key);
  }

  findService(name: string): Service | undefined {
    return this.services.get(name);
  }

  listServices(): IterableIterator<Service> {
    return this.services.values();
  }
}

/**
 * Chooses a target of a route with a probability proportional to its weight.
 *
 * @param randomFraction a random number from 0 (inclusive) to 1 (exclusive)
 */
export const chooseTarget = (
  targets: readonly RouteTarget[],
  randomFraction: number,
): RouteTarget | undefined => {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = randomFraction * totalWeight;
  for (const target of targets) {
    if (target.weight <= 0) continue;
    remainingWeight -= target.weight;
    if (remainingWeight < 0) return target;
  }
  return targets.findLast(({ weight }) => weight > 0);
};

/** Returns whether a request of a route may be executed more than once. */
export const isRetryable = (route: Route): boolean => {
  switch (route.kind) {
    case 'idempotent':
      return true;
    case 'non_idempotent':
      return false;
    case 'streaming':
      return route.isResumable;
    default:
      return route.kind satisfies never;
  }
};
