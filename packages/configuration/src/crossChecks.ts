import type { ConfigurationEntry, EntryKey } from './schemas.js';

/** A fault between entries; `key` is the entry that holds the fault. */
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
  const found = values.get(`service/${service}`);
  if (found?.kind === 'service' && found.type === 'model') return [];
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
      errors.push({ type: 'duplicate_route', key, message: `route "${route}" is given twice` });
    }
    seen.add(route);
  }
  return errors;
};

/**
 * Checks what no single file shows: that named services exist, that models belong to model
 * services, and that no key belongs to two accounts.
 *
 * @param values entries by key, as they would be in force together
 * @returns all faults; empty if there are none
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
