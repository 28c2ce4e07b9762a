import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  type BundleEntry,
  bundleEntrySchema,
  type ConfigurationBundle,
  EMPTY_BUNDLE,
} from './bundle.js';
import { computeDigest } from './canonicalJson.js';
import { MAX_BUNDLE_ENTRIES, MAX_TOMBSTONES } from './constants.js';
import { type ConfigurationEntry, type EntryKey, entrySchema, getEntryKey } from './schemas.js';
import { ConfigurationView } from './view.js';

/**
 * Entries that changed after the revision `since`. `digest` is the digest of the whole bundle at
 * `revision`, so that the receiver can detect that its own entries and the delta don't add up to
 * that bundle. A delta with `since` 0 is complete and replaces all entries.
 */
export const deltaSchema = z.object({
  since: z.number().int().nonnegative(),
  revision: z.number().int().nonnegative(),
  digest: z.string(),
  entries: z.record(z.string(), bundleEntrySchema),
});
export type ConfigurationDelta = z.infer<typeof deltaSchema>;

/** Reason why a state rejects a bundle or delta. The state is unchanged in each case. */
export type StateError =
  | { readonly type: 'older_revision'; readonly current: number; readonly offered: number }
  | { readonly type: 'digest_mismatch'; readonly revision: number }
  | { readonly type: 'revision_fork'; readonly revision: number }
  | { readonly type: 'entry_reverted'; readonly key: EntryKey }
  | { readonly type: 'invalid_entry'; readonly key: EntryKey }
  | { readonly type: 'delta_gap'; readonly current: number; readonly since: number }
  | { readonly type: 'too_many_entries'; readonly limit: number };

/** Whether a bundle or delta moved the state to a higher revision. */
export type StateChange = 'unchanged' | 'updated';

const parseValues = (
  bundle: ConfigurationBundle,
): Result<Map<EntryKey, ConfigurationEntry>, StateError> => {
  const keys = Object.keys(bundle.entries);
  if (keys.length > MAX_BUNDLE_ENTRIES) {
    return err({ type: 'too_many_entries', limit: MAX_BUNDLE_ENTRIES });
  }
  const values = new Map<EntryKey, ConfigurationEntry>();
  for (const [key, { value, revision }] of Object.entries(bundle.entries)) {
    if (revision > bundle.revision) return err({ type: 'invalid_entry', key });
    if (value === null) continue;
    const parsed = entrySchema.safeParse(value);
    if (!parsed.success || getEntryKey(parsed.data) !== key) {
      return err({ type: 'invalid_entry', key });
    }
    values.set(key, parsed.data);
  }
  return ok(values);
};

/** Whether a bundle has reached its limit of tombstones and may have dropped old ones. */
const hasDroppedTombstones = (bundle: ConfigurationBundle): boolean => {
  const tombstones = Object.values(bundle.entries).filter(({ value }) => value === null);
  return tombstones.length >= MAX_TOMBSTONES;
};

/** Finds an entry that a newer bundle has at an older revision, or lacks without a tombstone. */
const findRevertedEntry = (
  current: ConfigurationBundle,
  next: ConfigurationBundle,
): EntryKey | undefined => {
  for (const [key, { revision, value }] of Object.entries(current.entries)) {
    const nextRevision = next.entries[key]?.revision;
    const isLost = nextRevision === undefined && value !== null;
    if (isLost && !hasDroppedTombstones(next)) return key;
    if (nextRevision !== undefined && nextRevision < revision) return key;
  }
  return undefined;
};

/** The active configuration of a process. It only moves to higher revisions. */
export class ConfigurationState {
  private currentDigest = computeDigest(EMPTY_BUNDLE);

  private currentView = ConfigurationView.create(0, new Map());

  private constructor(private bundle: ConfigurationBundle) {}

  /** Creates the state before the first publication, at revision 0. */
  static create(): ConfigurationState {
    return new ConfigurationState(EMPTY_BUNDLE);
  }

  get revision(): number {
    return this.bundle.revision;
  }

  get digest(): string {
    return this.currentDigest;
  }

  get view(): ConfigurationView {
    return this.currentView;
  }

  /** The complete active bundle. */
  get currentBundle(): ConfigurationBundle {
    return this.bundle;
  }

  /** Checks that a revision is not older than the active one and doesn't contradict it. */
  checkRevision(revision: number, digest: string): Result<StateChange, StateError> {
    const current = this.bundle.revision;
    if (revision < current) return err({ type: 'older_revision', current, offered: revision });
    if (revision > current) return ok('updated');
    return digest === this.currentDigest
      ? ok('unchanged')
      : err({ type: 'revision_fork', revision });
  }

  /**
   * Activates a complete bundle.
   *
   * @param digest digest of the bundle according to the head or the peer
   * @example
   * state.applyBundle(bundle, head.digest); // ok('updated')
   */
  applyBundle(bundle: ConfigurationBundle, digest: string): Result<StateChange, StateError> {
    const change = this.checkRevision(bundle.revision, digest);
    if (change.isErr() || change.value === 'unchanged') return change;
    if (computeDigest(bundle) !== digest) {
      return err({ type: 'digest_mismatch', revision: bundle.revision });
    }
    const reverted = findRevertedEntry(this.bundle, bundle);
    if (reverted !== undefined) return err({ type: 'entry_reverted', key: reverted });
    const values = parseValues(bundle);
    if (values.isErr()) return err(values.error);
    this.bundle = bundle;
    this.currentDigest = digest;
    this.currentView = ConfigurationView.create(bundle.revision, values.value);
    return ok('updated');
  }

  /**
   * Activates changed entries. After `delta_gap` or `digest_mismatch` the caller should request a
   * complete delta (since 0).
   */
  applyDelta(delta: ConfigurationDelta): Result<StateChange, StateError> {
    const current = this.bundle.revision;
    if (delta.since > current) return err({ type: 'delta_gap', current, since: delta.since });
    const kept: Record<EntryKey, BundleEntry> = delta.since === 0 ? {} : this.bundle.entries;
    const entries = { ...kept, ...delta.entries };
    return this.applyBundle({ revision: delta.revision, entries }, delta.digest);
  }

  /**
   * Returns the entries that changed after a revision, or undefined if none did.
   *
   * @param revision active revision of the requesting process; 0 for all entries
   */
  getDelta(revision: number): ConfigurationDelta | undefined {
    if (revision >= this.bundle.revision) return undefined;
    const since = Math.max(0, revision);
    const entries: Record<EntryKey, BundleEntry> = {};
    for (const [key, entry] of Object.entries(this.bundle.entries)) {
      if (entry.revision > since) entries[key] = entry;
    }
    return { since, revision: this.bundle.revision, digest: this.currentDigest, entries };
  }
}
