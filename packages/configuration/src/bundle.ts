import { z } from 'zod';
import { computeDigest, encodeCanonicalJson } from './canonicalJson.js';
import { MAX_TOMBSTONES, OBJECT_PREFIX } from './constants.js';
import type { ConfigurationEntry, EntryKey } from './schemas.js';

const revisionSchema = z.number().int().nonnegative();

/**
 * One entry of a bundle. `value` is null in the tombstone of a deleted entry. Otherwise it is
 * stored as published, so that processes of different releases compute the same digest. Only
 * `publisher` can delete the entry by publishing without its file.
 */
export const bundleEntrySchema = z.object({
  revision: revisionSchema,
  publisher: z.string().max(256).optional(),
  value: z.record(z.string(), z.unknown()).nullable(),
});
export type BundleEntry = z.infer<typeof bundleEntrySchema>;

export const bundleSchema = z.object({
  revision: revisionSchema,
  entries: z.record(z.string(), bundleEntrySchema),
});
/** The complete configuration at one revision. */
export type ConfigurationBundle = z.infer<typeof bundleSchema>;

export const headSchema = z.object({
  revision: revisionSchema,
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  publisher: z.string(),
});
/**
 * Value of the table row `config/head`. It doesn't list the entries: 350 nodes read it every 4 s,
 * and a list of 260 entries alone would use up a node's budget of 6 KB/s for control traffic.
 */
export type ConfigurationHead = z.infer<typeof headSchema>;

/** The bundle before anything was published. */
export const EMPTY_BUNDLE: ConfigurationBundle = { revision: 0, entries: {} };

/** Changes of one publication: the new value of each changed entry, or null if it is deleted. */
export type EntryChanges = ReadonlyMap<EntryKey, ConfigurationEntry | null>;

const removeOldTombstones = (
  entries: Readonly<Record<EntryKey, BundleEntry>>,
): Record<EntryKey, BundleEntry> => {
  const tombstones = Object.entries(entries).filter(([, entry]) => entry.value === null);
  tombstones.sort(([, a], [, b]) => b.revision - a.revision);
  const dropped = new Set(tombstones.slice(MAX_TOMBSTONES).map(([key]) => key));
  return Object.fromEntries(Object.entries(entries).filter(([key]) => !dropped.has(key)));
};

/**
 * Creates the next bundle by applying changes to the previous one.
 *
 * @param publisher recorded as the publisher of the changed entries
 * @example
 * createBundle(EMPTY_BUNDLE, new Map([['model/crop-8b', model]]), 'jianan');
 */
export const createBundle = (
  previous: ConfigurationBundle,
  changes: EntryChanges,
  publisher: string,
): ConfigurationBundle => {
  const revision = previous.revision + 1;
  const entries: Record<EntryKey, BundleEntry> = { ...previous.entries };
  for (const [key, value] of changes) entries[key] = { revision, publisher, value };
  return { revision, entries: removeOldTombstones(entries) };
};

/** Creates the value of the head row for a bundle. */
export const createHead = (bundle: ConfigurationBundle, publisher: string): ConfigurationHead => ({
  revision: bundle.revision,
  digest: computeDigest(bundle),
  publisher,
});

/** Encodes a bundle for the object store. */
export const encodeBundle = (bundle: ConfigurationBundle): Uint8Array =>
  Buffer.from(encodeCanonicalJson(bundle), 'utf8');

/** Returns the name of the object that stores the bundle with the given digest. */
export const getBundleObjectName = (digest: string): string => `${OBJECT_PREFIX}${digest}`;

/** Returns the values of all entries that are not deleted, by key. */
export const listActiveValues = (
  bundle: ConfigurationBundle,
): Map<EntryKey, ConfigurationEntry> => {
  const values = new Map<EntryKey, ConfigurationEntry>();
  for (const [key, { value }] of Object.entries(bundle.entries)) {
    // Values are validated when a bundle is created and when a state applies it.
    if (value !== null) values.set(key, value as unknown as ConfigurationEntry);
  }
  return values;
};
