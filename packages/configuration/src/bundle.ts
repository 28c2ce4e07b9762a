import { z } from 'zod';
import { computeDigest, encodeCanonicalJson } from './canonicalJson.js';
import { MAX_TOMBSTONES, OBJECT_PREFIX } from './constants.js';
import type { ConfigurationEntry, EntryKey } from './schemas.js';

const revisionSchema = z.number().int().nonnegative();

/**
 * One entry of a bundle. `value` is null once the entry is deleted. It is kept as it was published,
 * so that a process of another release computes the same digest. `publisher` tells who may delete
 * the entry by leaving out its file.
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
/** The whole configuration at one revision. */
export type ConfigurationBundle = z.infer<typeof bundleSchema>;

export const headSchema = z.object({
  revision: revisionSchema,
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  publisher: z.string(),
});
/**
 * Value of the table row `config/head`. It does not list the entries: 350 nodes read it every 4 s,
 * and a list of 260 entries alone would use up the 6 KB/s that a node has for control.
 */
export type ConfigurationHead = z.infer<typeof headSchema>;

/** The bundle before the first publication. */
export const EMPTY_BUNDLE: ConfigurationBundle = { revision: 0, entries: {} };

/** Changes of one publication: the new value of each changed entry, null for a deletion. */
export type EntryChanges = ReadonlyMap<EntryKey, ConfigurationEntry | null>;

const removeOldTombstones = (
  entries: Readonly<Record<EntryKey, BundleEntry>>,
): Record<EntryKey, BundleEntry> => {
  const deleted = Object.entries(entries).filter(([, entry]) => entry.value === null);
  deleted.sort(([, a], [, b]) => b.revision - a.revision);
  const dropped = new Set(deleted.slice(MAX_TOMBSTONES).map(([key]) => key));
  return Object.fromEntries(Object.entries(entries).filter(([key]) => !dropped.has(key)));
};

/**
 * Creates the bundle that follows another one.
 *
 * @param publisher becomes the publisher of the changed entries
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

/** Creates the head row of a bundle. */
export const createHead = (bundle: ConfigurationBundle, publisher: string): ConfigurationHead => ({
  revision: bundle.revision,
  digest: computeDigest(bundle),
  publisher,
});

/** Encodes a bundle as the bytes of its object. */
export const encodeBundle = (bundle: ConfigurationBundle): Uint8Array =>
  Buffer.from(encodeCanonicalJson(bundle), 'utf8');

/** Returns the name of the object that holds the bundle with a digest. */
export const getBundleObjectName = (digest: string): string => `${OBJECT_PREFIX}${digest}`;

/** Returns the values that are in force, by key. */
export const listActiveValues = (
  bundle: ConfigurationBundle,
): Map<EntryKey, ConfigurationEntry> => {
  const values = new Map<EntryKey, ConfigurationEntry>();
  for (const [key, { value }] of Object.entries(bundle.entries)) {
    // Values are checked when a bundle is made and when a state takes it.
    if (value !== null) values.set(key, value as unknown as ConfigurationEntry);
  }
  return values;
};
