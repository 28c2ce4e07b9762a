import { err, ok, type Result, ResultAsync } from 'neverthrow';
import {
  type ConfigurationBundle,
  type ConfigurationHead,
  createBundle,
  createHead,
  encodeBundle,
  type EntryChanges,
  getBundleObjectName,
} from './bundle.js';
import { computeDigest } from './canonicalJson.js';
import {
  HEAD_KEY,
  MAX_BUNDLE_BYTES,
  MAX_BUNDLE_ENTRIES,
  MAX_PUBLISH_ATTEMPTS,
} from './constants.js';
import { checkEntries, type CrossCheckError } from './crossChecks.js';
import { applyChanges, computeChanges, mergePublication, type PublishConflict } from './merge.js';
import type { ConfigurationEntry, EntryKey } from './schemas.js';
import {
  type ConfigurationObjects,
  type ConfigurationTable,
  parseHeadRow,
  readBundle,
  readHead,
  type VersionedHead,
} from './source.js';

/**
 * `outcome_unknown`: the platform failed while the head was written, so the publication may be in
 * force or come into force; publishing the same files again is safe and settles it.
 */
export type PublishError =
  | PublishConflict
  | { readonly type: 'invalid_configuration'; readonly errors: readonly CrossCheckError[] }
  | { readonly type: 'invalid_platform_data'; readonly message: string }
  | { readonly type: 'outcome_unknown'; readonly message: string }
  | { readonly type: 'platform_unavailable'; readonly message: string }
  | { readonly type: 'too_large'; readonly message: string };

export interface Publication {
  readonly revision: number;
  /** Keys that the publication changed; empty if everything was in force already. */
  readonly changed: readonly EntryKey[];
  readonly deleted: readonly EntryKey[];
}

export interface PublishOptions {
  readonly table: ConfigurationTable;
  readonly objects: ConfigurationObjects;
  readonly entries: ReadonlyMap<EntryKey, ConfigurationEntry>;
  /** Name of the publishing operator or team; see `computeChanges` for what it may delete. */
  readonly publisher: string;
  readonly createAttemptId: () => string;
  /** Waits before try number `attempt` (1 is the second try); owns its timer. */
  readonly waitBeforeRetry: (attempt: number) => Promise<void>;
}

/** One conditional write of the head that may have taken effect. */
interface HeadWrite {
  readonly attemptId: string;
  readonly ifVersion: number;
  readonly bundle: ConfigurationBundle;
  readonly head: ConfigurationHead;
  readonly changes: EntryChanges;
}

const toPublication = ({ bundle, changes }: HeadWrite): Publication => ({
  revision: bundle.revision,
  changed: [...changes.keys()],
  deleted: [...changes].filter(([, value]) => value === null).map(([key]) => key),
});

/** Whether a later bundle holds the changes of an attempt, which then took effect before it. */
const hasAppliedChanges = (bundle: ConfigurationBundle, attempt: HeadWrite): boolean => {
  for (const [key, value] of attempt.changes) {
    const now = bundle.entries[key];
    if (now?.revision !== attempt.bundle.revision) return false;
    if (computeDigest(now.value) !== computeDigest(value)) return false;
  }
  return true;
};

/** One run of `publishConfiguration`. */
class PublishOperation {
  private baseBundle: ConfigurationBundle | undefined;

  private ownChanges: EntryChanges = new Map();

  /** The last attempt without a known outcome. */
  private pendingWrite: HeadWrite | undefined;

  private lastFailure = 'no try was made';

  constructor(private readonly options: PublishOptions) {}

  async run(): Promise<Result<Publication, PublishError>> {
    for (let attempt = 0; attempt < MAX_PUBLISH_ATTEMPTS; attempt++) {
      if (attempt > 0) await this.options.waitBeforeRetry(attempt);
      const outcome = await this.runAttempt();
      if (outcome !== undefined) return outcome;
    }
    const message = `gave up after ${MAX_PUBLISH_ATTEMPTS} tries: ${this.lastFailure}`;
    return err({
      type: this.pendingWrite === undefined ? 'platform_unavailable' : 'outcome_unknown',
      message,
    });
  }

  /** Returns the outcome, or undefined if another try is needed. */
  private async runAttempt(): Promise<Result<Publication, PublishError> | undefined> {
    const current = await readHead(this.options.table);
    if (current.isErr()) return this.recordFailure(current.error);
    if (this.pendingWrite !== undefined) {
      const isEffective = await this.checkApplied(this.pendingWrite, current.value);
      if (isEffective === undefined) return undefined;
      if (isEffective) return ok(toPublication(this.pendingWrite));
      // The lost write may still arrive; the same write under the same condition can't add to it.
      if (current.value.version === this.pendingWrite.ifVersion)
        return this.writeHead(this.pendingWrite);
      this.pendingWrite = undefined;
    }
    const attempt = await this.createHeadWrite(current.value);
    if (attempt === undefined) return undefined;
    if (attempt.isErr()) return err(attempt.error);
    if (attempt.value.changes.size === 0) {
      return ok({ revision: current.value.head?.revision ?? 0, changed: [], deleted: [] });
    }
    const { bundle, head } = attempt.value;
    const stored = await this.options.objects.write(
      getBundleObjectName(head.digest),
      encodeBundle(bundle),
    );
    if (stored.isErr()) {
      return this.recordFailure({
        type: 'unavailable',
        message: `the object store answered ${stored.error.type}`,
      });
    }
    return this.writeHead(attempt.value);
  }

  private async createHeadWrite(
    current: VersionedHead,
  ): Promise<Result<HeadWrite, PublishError> | undefined> {
    const bundle = await readBundle(this.options.objects, current.head);
    if (bundle.isErr()) {
      const failed = this.recordFailure(bundle.error);
      return failed === undefined ? undefined : err(failed.error);
    }
    if (this.baseBundle === undefined) {
      this.baseBundle = bundle.value;
      this.ownChanges = computeChanges(bundle.value, this.options.entries, this.options.publisher);
    }
    const merged = mergePublication(this.baseBundle, this.ownChanges, bundle.value);
    if (merged.isErr()) return err(merged.error);
    return this.buildHeadWrite(bundle.value, merged.value, current.version);
  }

  private buildHeadWrite(
    current: ConfigurationBundle,
    changes: EntryChanges,
    ifVersion: number,
  ): Result<HeadWrite, PublishError> {
    const errors = checkEntries(applyChanges(current, changes));
    if (errors.length > 0) return err({ type: 'invalid_configuration', errors });
    const { publisher, createAttemptId } = this.options;
    const bundle = createBundle(current, changes, publisher);
    const entryCount = Object.keys(bundle.entries).length;
    if (entryCount > MAX_BUNDLE_ENTRIES || encodeBundle(bundle).byteLength > MAX_BUNDLE_BYTES) {
      const message = `${entryCount} entries exceed the bounds of a bundle`;
      return err({ type: 'too_large', message });
    }
    const head = createHead(bundle, publisher);
    return ok({ attemptId: createAttemptId(), ifVersion, bundle, head, changes });
  }

  private async writeHead(
    attempt: HeadWrite,
  ): Promise<Result<Publication, PublishError> | undefined> {
    const { head, ifVersion, attemptId } = attempt;
    const written = await this.options.table.write(HEAD_KEY, head, ifVersion, attemptId);
    if (written.isOk()) return ok(toPublication(attempt));
    const { error } = written;
    this.lastFailure = `the table answered ${error.type} to the write of the head`;
    if (error.type !== 'conflict') {
      this.pendingWrite = attempt;
      return undefined;
    }
    const current = await parseHeadRow(error.current);
    const isEffective = current.isOk() ? await this.checkApplied(attempt, current.value) : false;
    if (isEffective === true) return ok(toPublication(attempt));
    this.pendingWrite = isEffective === undefined ? attempt : undefined;
    return undefined;
  }

  /** Returns whether an attempt took effect, or undefined while that can't be read. */
  private async checkApplied(
    attempt: HeadWrite,
    current: VersionedHead,
  ): Promise<boolean | undefined> {
    if (current.attemptId === attempt.attemptId) return true;
    if (current.version <= attempt.ifVersion) return false;
    const bundle = await readBundle(this.options.objects, current.head);
    if (bundle.isOk()) return hasAppliedChanges(bundle.value, attempt);
    this.lastFailure = bundle.error.message;
    return undefined;
  }

  private recordFailure(error: {
    readonly type: 'invalid' | 'unavailable';
    readonly message: string;
  }) {
    this.lastFailure = error.message;
    if (error.type === 'unavailable') return undefined;
    return err({ type: 'invalid_platform_data' as const, message: error.message });
  }
}

/**
 * Publishes entries: writes the bundle to the object store and moves the head up by one revision
 * with a conditional write. Races with other publishers are merged; a lost answer is resolved from
 * the head row, never by a second write that could take effect as well.
 *
 * @example
 * const published = await publishConfiguration({ table, objects, entries, publisher: 'jianan',
 *   createAttemptId: () => createId('publish'), waitBeforeRetry });
 */
export const publishConfiguration = (
  options: PublishOptions,
): ResultAsync<Publication, PublishError> => new ResultAsync(new PublishOperation(options).run());
