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
 * `outcome_unknown`: the platform failed while the head was written, so the publication may have
 * taken effect or may still do so. Publishing the same files again is safe and resolves it.
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
  /** Keys that the publication changed; empty if the configuration was already up to date. */
  readonly changed: readonly EntryKey[];
  readonly deleted: readonly EntryKey[];
}

export interface PublishOptions {
  readonly table: ConfigurationTable;
  readonly objects: ConfigurationObjects;
  readonly entries: ReadonlyMap<EntryKey, ConfigurationEntry>;
  /** Name of the publishing operator or team; `computeChanges` explains what it may delete. */
  readonly publisher: string;
  readonly createAttemptId: () => string;
  /** Waits before a retry, on the caller's own timer; `attempt` is 1 for the first retry. */
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

/**
 * Whether a later bundle contains the changes of a head write, which shows that the write took
 * effect.
 */
const hasAppliedChanges = (bundle: ConfigurationBundle, write: HeadWrite): boolean => {
  for (const [key, value] of write.changes) {
    const entry = bundle.entries[key];
    if (entry?.revision !== write.bundle.revision) return false;
    if (computeDigest(entry.value) !== computeDigest(value)) return false;
  }
  return true;
};

/** State of one call of `publishConfiguration`. */
class PublishOperation {
  private baseBundle: ConfigurationBundle | undefined;

  private ownChanges: EntryChanges = new Map();

  /** The last head write whose outcome is unknown. */
  private pendingWrite: HeadWrite | undefined;

  private lastFailure = 'no attempt was made';

  constructor(private readonly options: PublishOptions) {}

  async run(): Promise<Result<Publication, PublishError>> {
    for (let attempt = 0; attempt < MAX_PUBLISH_ATTEMPTS; attempt++) {
      if (attempt > 0) await this.options.waitBeforeRetry(attempt);
      const outcome = await this.runAttempt();
      if (outcome !== undefined) return outcome;
    }
    const message = `gave up after ${MAX_PUBLISH_ATTEMPTS} attempts: ${this.lastFailure}`;
    return err({
      type: this.pendingWrite === undefined ? 'platform_unavailable' : 'outcome_unknown',
      message,
    });
  }

  /** Returns the outcome, or undefined if another attempt is needed. */
  private async runAttempt(): Promise<Result<Publication, PublishError> | undefined> {
    const current = await readHead(this.options.table);
    if (current.isErr()) return this.recordFailure(current.error);
    if (this.pendingWrite !== undefined) {
      const isApplied = await this.checkApplied(this.pendingWrite, current.value);
      if (isApplied === undefined) return undefined;
      if (isApplied) return ok(toPublication(this.pendingWrite));
      // The lost write may still be applied. Repeating it with the same condition is safe, because
      // at most one of the two can succeed.
      if (current.value.version === this.pendingWrite.ifVersion)
        return this.writeHead(this.pendingWrite);
      this.pendingWrite = undefined;
    }
    const write = await this.createHeadWrite(current.value);
    if (write === undefined) return undefined;
    if (write.isErr()) return err(write.error);
    if (write.value.changes.size === 0) {
      return ok({ revision: current.value.head?.revision ?? 0, changed: [], deleted: [] });
    }
    const { bundle, head } = write.value;
    const stored = await this.options.objects.write(
      getBundleObjectName(head.digest),
      encodeBundle(bundle),
    );
    if (stored.isErr()) {
      return this.recordFailure({
        type: 'unavailable',
        message: `writing the bundle to the object store failed: ${stored.error.type}`,
      });
    }
    return this.writeHead(write.value);
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
      const message = `the bundle with ${entryCount} entries exceeds the limit of entries or bytes`;
      return err({ type: 'too_large', message });
    }
    const head = createHead(bundle, publisher);
    return ok({ attemptId: createAttemptId(), ifVersion, bundle, head, changes });
  }

  private async writeHead(
    write: HeadWrite,
  ): Promise<Result<Publication, PublishError> | undefined> {
    const { head, ifVersion, attemptId } = write;
    const written = await this.options.table.write(HEAD_KEY, head, ifVersion, attemptId);
    if (written.isOk()) return ok(toPublication(write));
    const { error } = written;
    this.lastFailure = `writing the head row to the table failed: ${error.type}`;
    if (error.type !== 'conflict') {
      this.pendingWrite = write;
      return undefined;
    }
    const current = await parseHeadRow(error.current);
    const isApplied = current.isOk() ? await this.checkApplied(write, current.value) : false;
    if (isApplied === true) return ok(toPublication(write));
    this.pendingWrite = isApplied === undefined ? write : undefined;
    return undefined;
  }

  /** Returns whether a head write took effect, or undefined if the current bundle can't be read. */
  private async checkApplied(
    write: HeadWrite,
    current: VersionedHead,
  ): Promise<boolean | undefined> {
    if (current.attemptId === write.attemptId) return true;
    if (current.version <= write.ifVersion) return false;
    const bundle = await readBundle(this.options.objects, current.head);
    if (bundle.isOk()) return hasAppliedChanges(bundle.value, write);
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
 * Publishes entries: writes the bundle to the object store, then advances the head by one revision
 * with a conditional write. Concurrent publications are merged. After a lost response, the head row
 * shows whether the write took effect; it is never repeated in a way that could take effect twice.
 *
 * @example
 * const published = await publishConfiguration({ table, objects, entries, publisher: 'jianan',
 *   createAttemptId: () => createId('publish'), waitBeforeRetry });
 */
export const publishConfiguration = (
  options: PublishOptions,
): ResultAsync<Publication, PublishError> => new ResultAsync(new PublishOperation(options).run());
