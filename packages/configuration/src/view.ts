import { DEFAULT_ROUTE_TIMEOUT_MS } from './constants.js';
import type { Account, ConfigurationEntry, EntryKey, Model, Route, Service } from './schemas.js';

/** Handling of a call to a plain service. */
export interface RouteRule {
  readonly idempotent: boolean;
  readonly timeoutMs: number;
}

const matchesPath = (pattern: string, path: string): boolean =>
  pattern.endsWith('/*') ? path.startsWith(pattern.slice(0, -1)) : pattern === path;

/** Returns the most specific matching route: an exact path, else the longest prefix. */
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
 * Immutable lookup tables of the configuration at one revision.
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

  /** @param keySha256 SHA-256 of a caller's key, in lowercase hexadecimal */
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
   * Returns the rule for a call to a plain service, or undefined if there is no such service. If no
   * route matches, only `GET` and `HEAD` are idempotent.
   *
   * @param path path without the query string
   */
  getRouteRule(service: string, method: string, path: string): RouteRule | undefined {
    const plainService = this.services.get(service);
    if (plainService?.type !== 'plain') return undefined;
    const upperMethod = method.toUpperCase();
    const route = findRoute(plainService.routes, upperMethod, path);
    if (route !== undefined) return { idempotent: route.idempotent, timeoutMs: route.timeoutMs };
    const idempotent = upperMethod === 'GET' || upperMethod === 'HEAD';
    return { idempotent, timeoutMs: DEFAULT_ROUTE_TIMEOUT_MS };
  }
}
