import { DEFAULT_ROUTE_TIMEOUT_MS } from './constants.js';
import type { Account, ConfigurationEntry, EntryKey, Model, Route, Service } from './schemas.js';

/** How a call to a plain service is treated. */
export interface RouteRule {
  readonly idempotent: boolean;
  readonly timeoutMs: number;
}

const matchesPath = (pattern: string, path: string): boolean =>
  pattern.endsWith('/*') ? path.startsWith(pattern.slice(0, -1)) : pattern === path;

/** Returns the matching route with the longest path; an exact path precedes a prefix. */
const findRoute = (routes: readonly Route[], method: string, path: string): Route | undefined => {
  let best: Route | undefined;
  for (const route of routes) {
    if (route.method !== method || !matchesPath(route.path, path)) continue;
    if (!route.path.endsWith('/*')) return route;
    if (best === undefined || route.path.length > best.path.length) best = route;
  }
  return best;
};

/**
 * Lookups in the configuration of one revision. A view never changes; a new revision is a new view.
 *
 * @example
 * view.getAccountByKeyHash(computeSha256Hex(key))?.name;
 */
export class ConfigurationView {
  private readonly accountsByKeyHash = new Map<string, Account>();

  private readonly accounts = new Map<string, Account>();

  private readonly services = new Map<string, Service>();

  private readonly models = new Map<string, Model>();

  private constructor(readonly revision: number) {}

  /** Creates a view of entries by key. */
  static create(
    revision: number,
    values: ReadonlyMap<EntryKey, ConfigurationEntry>,
  ): ConfigurationView {
    const view = new ConfigurationView(revision);
    for (const entry of values.values()) {
      if (entry.kind === 'service') view.services.set(entry.name, entry);
      if (entry.kind === 'model') view.models.set(entry.name, entry);
      if (entry.kind !== 'account') continue;
      view.accounts.set(entry.name, entry);
      for (const hash of entry.keySha256) view.accountsByKeyHash.set(hash, entry);
    }
    return view;
  }

  /** @param keySha256 lower case hexadecimal SHA-256 of a caller's key */
  getAccountByKeyHash(keySha256: string): Account | undefined {
    return this.accountsByKeyHash.get(keySha256);
  }

  getAccount(name: string): Account | undefined {
    return this.accounts.get(name);
  }

  getService(name: string): Service | undefined {
    return this.services.get(name);
  }

  getModel(name: string): Model | undefined {
    return this.models.get(name);
  }

  listAccounts(): readonly Account[] {
    return [...this.accounts.values()];
  }

  listServices(): readonly Service[] {
    return [...this.services.values()];
  }

  /** @param service limits the list to the models of one service */
  listModels(service?: string): readonly Model[] {
    const models = [...this.models.values()];
    return service === undefined ? models : models.filter((model) => model.service === service);
  }

  /**
   * Returns the rule of a call to a plain service; undefined if there is no such service. Without
   * a listed route only `GET` and `HEAD` are idempotent.
   *
   * @param path path without query
   */
  getRouteRule(service: string, method: string, path: string): RouteRule | undefined {
    const found = this.services.get(service);
    if (found?.type !== 'plain') return undefined;
    const upperMethod = method.toUpperCase();
    const route = findRoute(found.routes, upperMethod, path);
    if (route !== undefined) return { idempotent: route.idempotent, timeoutMs: route.timeoutMs };
    const idempotent = upperMethod === 'GET' || upperMethod === 'HEAD';
    return { idempotent, timeoutMs: DEFAULT_ROUTE_TIMEOUT_MS };
  }
}
