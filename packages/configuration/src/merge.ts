import { err, ok, type Result } from 'neverthrow';
import { type ConfigurationBundle, type EntryChanges, listActiveValues } from './bundle.js';
import { encodeCanonicalJson } from './canonicalJson.js';
import type { ConfigurationEntry, EntryKey } from './schemas.js';

/** An entry that somebody else changed first. */
export interface EntryConflict {
  readonly key: EntryKey;
  readonly winnerRevision: number;
  readonly winner: string;
}

export interface PublishConflict {
  readonly type: 'publish_conflict';
  readonly conflicts: readonly EntryConflict[];
}

const isEqual = (a: unknown, b: unknown): boolean =>
  encodeCanonicalJson(a) === encodeCanonicalJson(b);

/**
 * Computes what a publication changes. Entries that are absent from `entries` are deleted only if
 * the same publisher published them last; all others stay as they are.
 */
export const computeChanges = (
  base: ConfigurationBundle,
  entries: ReadonlyMap<EntryKey, ConfigurationEntry>,
  publisher: string,
): EntryChanges => {
  const changes = new Map<EntryKey, ConfigurationEntry | null>();
  for (const [key, value] of entries) {
    if (!isEqual(base.entries[key]?.value ?? null, value)) changes.set(key, value);
  }
  for (const [key, entry] of Object.entries(base.entries)) {
    const isOwn = entry.publisher === publisher && entry.value !== null;
    if (isOwn && !entries.has(key)) changes.set(key, null);
  }
  return changes;
};

/**
 * Merges a publication with what others published since it was begun. Changes of different entries
 * go together; for the same entry the first publication wins.
 *
 * @param base bundle that the publication was computed from
 * @param mine changes of the publication
 * @param current bundle in force now
 * @returns the changes that are still to be made to `current`, or the conflicts
 * @example
 * mergePublication(base, new Map([['model/a', value]]), current);
 */
export const mergePublication = (
  base: ConfigurationBundle,
  mine: EntryChanges,
  current: ConfigurationBundle,
): Result<EntryChanges, PublishConflict> => {
  const conflicts: EntryConflict[] = [];
  const changes = new Map<EntryKey, ConfigurationEntry | null>();
  for (const [key, value] of mine) {
    const before = base.entries[key]?.revision ?? 0;
    const now = current.entries[key];
    if (isEqual(now?.value ?? null, value)) continue;
    if ((now?.revision ?? 0) === before) changes.set(key, value);
    else {
      const winnerRevision = now?.revision ?? current.revision;
      conflicts.push({ key, winnerRevision, winner: now?.publisher ?? 'unknown' });
    }
  }
  return conflicts.length > 0 ? err({ type: 'publish_conflict', conflicts }) : ok(changes);
};

/** Returns the values that would be in force after changes. */
export const applyChanges = (
  bundle: ConfigurationBundle,
  changes: EntryChanges,
): Map<EntryKey, ConfigurationEntry> => {
  const values = listActiveValues(bundle);
  for (const [key, value] of changes) {
    if (value === null) values.delete(key);
    else values.set(key, value);
  }
  return values;
};
