import type { ConfigurationEntry, EntryKey } from './schemas.js';

/** An inconsistency within or between entries; `key` is the entry that has to be corrected. */
export interface CrossCheckError {
  readonly type:
    'duplicate_key_hash' | 'duplicate_route' | 'unknown_service' | 'wrong_service_type';
  readonly key: EntryKey;
  readonly message: string;
}

type EntryValues = ReadonlyMap<EntryKey, ConfigurationEntry>;

const checkServiceExists = (
  values: EntryValues,
  key: EntryKey,
  name: string,
): CrossCheckError | undefined => {
  if (values.has(`service/${name}`)) return undefined;
  return { type: 'unknown_service', key, message: `service "${name}" doesn't exist` };
};

const checkModelService = (
  values: EntryValues,
  key: EntryKey,
  service: string,
): CrossCheckError[] => {
  const missing = checkServiceExists(values, key, service);
  if (missing !== undefined) return [missing];
  const referenced = values.get(`service/${service}`);
  if (referenced?.kind === 'service' && referenced.type === 'model') return [];
  const message = `service "${service}" is not of type "model"`;
  return [{ type: 'wrong_service_type', key, message }];
};

const checkRoutes = (key: EntryKey, entry: ConfigurationEntry): CrossCheckError[] => {
  if (entry.kind !== 'service' || entry.type !== 'plain') return [];
  const errors: CrossCheckError[] = [];
  const seen = new Set<string>();
  for (const { method, path } of entry.routes) {
    const route = `${method} ${path}`;
    if (seen.has(route)) {
      errors.push({ type: 'duplicate_route', key, message: `route "${route}" is defined twice` });
    }
    seen.add(route);
  }
  return errors;
};

/**
 * Checks what the schemas can't: that referenced services exist, that models belong to model
 * services, that no service has a route twice, and that no key belongs to two accounts.
 *
 * @param values all entries that would be active together, by key
 * @returns all errors; empty if there are none
 */
export const checkEntries = (values: EntryValues): CrossCheckError[] => {
  const errors: CrossCheckError[] = [];
  const accountByHash = new Map<string, string>();
  for (const [key, entry] of values) {
    errors.push(...checkRoutes(key, entry));
    if (entry.kind === 'model') errors.push(...checkModelService(values, key, entry.service));
    if (entry.kind !== 'account') continue;
    for (const service of entry.services) {
      const missing = checkServiceExists(values, key, service);
      if (missing !== undefined) errors.push(missing);
    }
    for (const hash of entry.keySha256) {
      const other = accountByHash.get(hash);
      const message = `a key hash is already used by account "${other}"`;
      if (other !== undefined) errors.push({ type: 'duplicate_key_hash', key, message });
      accountByHash.set(hash, entry.name);
    }
  }
  return errors;
};
