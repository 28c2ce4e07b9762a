import { err, ok, type Result } from 'neverthrow';
import { type ConfigurationBundle, type EntryChanges, listActiveValues } from './bundle.js';
import { encodeCanonicalJson } from './canonicalJson.js';
import type { ConfigurationEntry, EntryKey } from './schemas.js';

/** An entry that another publication changed first. */
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
 * Computes the changes of a publication. Entries that are absent from `entries` are deleted only if
 * the same publisher published them last; all others are left unchanged.
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
 * Merges a publication with those that were completed since it started. Changes to different
 * entries are combined; for the same entry, the first publication wins.
 *
 * @param base bundle from which the publication's changes were computed
 * @param ownChanges changes of the publication
 * @param current latest bundle
 * @returns the changes that still have to be applied to `current`, or the conflicts
 * @example
 * mergePublication(base, new Map([['model/a', value]]), current);
 */
export const mergePublication = (
  base: ConfigurationBundle,
  ownChanges: EntryChanges,
  current: ConfigurationBundle,
): Result<EntryChanges, PublishConflict> => {
  const conflicts: EntryConflict[] = [];
  const changes = new Map<EntryKey, ConfigurationEntry | null>();
  for (const [key, value] of ownChanges) {
    const baseRevision = base.entries[key]?.revision ?? 0;
    const currentEntry = current.entries[key];
    if (isEqual(currentEntry?.value ?? null, value)) continue;
    if ((currentEntry?.revision ?? 0) === baseRevision) changes.set(key, value);
    else {
      const winnerRevision = currentEntry?.revision ?? current.revision;
      conflicts.push({ key, winnerRevision, winner: currentEntry?.publisher ?? 'unknown' });
    }
  }
  return conflicts.length > 0 ? err({ type: 'publish_conflict', conflicts }) : ok(changes);
};

/** Returns the active values of a bundle after changes. */
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
