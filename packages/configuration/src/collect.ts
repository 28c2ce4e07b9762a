import { opendir } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { getErrorMessage } from '@lovagearch/common';
import {
  createUnreadableFileError,
  parseJsonc,
  readTextFile,
  type SettingsError,
} from '@lovagearch/settings';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import {
  CONFIGURATION_SUFFIX,
  MAX_COLLECTED_FILES,
  MAX_CONFIGURATION_FILE_BYTES,
  MAX_SCANNED_PATHS,
} from './constants.js';
import { type ConfigurationEntry, type EntryKey, entrySchema, getEntryKey } from './schemas.js';

export type CollectionError =
  | { readonly type: 'invalid_file'; readonly error: SettingsError }
  | {
      readonly type: 'duplicate_entry';
      readonly key: EntryKey;
      readonly files: readonly [string, string];
    }
  | { readonly type: 'too_many_files'; readonly limit: number }
  | { readonly type: 'unreadable_directory'; readonly directory: string; readonly message: string };

/** Entries collected from a set of directories, and the file of each entry. */
export interface CollectedConfiguration {
  readonly entries: ReadonlyMap<EntryKey, ConfigurationEntry>;
  readonly files: ReadonlyMap<EntryKey, string>;
}

const isIgnoredDirectory = (name: string): boolean =>
  name.startsWith('.') || name === 'node_modules';

/**
 * Lists the configuration files below a directory; throws a `RangeError` if a limit is exceeded.
 */
const listFiles = async (directory: string): Promise<string[]> => {
  const files: string[] = [];
  const pending = [directory];
  let scanned = 0;
  for (let current = pending.pop(); current !== undefined; current = pending.pop()) {
    for await (const item of await opendir(current)) {
      scanned += 1;
      const path = join(current, item.name);
      if (item.isDirectory() && !isIgnoredDirectory(item.name)) pending.push(path);
      if (item.isFile() && item.name.endsWith(CONFIGURATION_SUFFIX)) files.push(path);
      if (scanned > MAX_SCANNED_PATHS || files.length > MAX_COLLECTED_FILES) {
        throw new RangeError('too many directory entries or configuration files');
      }
    }
  }
  return files.sort();
};

const listAllFiles = async (
  directories: readonly string[],
): Promise<Result<readonly string[], readonly CollectionError[]>> => {
  // A file below several of the directories is collected once.
  const files = new Set<string>();
  for (const directory of directories) {
    try {
      for (const file of await listFiles(resolve(directory))) files.add(file);
    } catch (error) {
      if (error instanceof RangeError) {
        return err([{ type: 'too_many_files', limit: MAX_COLLECTED_FILES }]);
      }
      return err([{ type: 'unreadable_directory', directory, message: getErrorMessage(error) }]);
    }
  }
  if (files.size > MAX_COLLECTED_FILES) {
    return err([{ type: 'too_many_files', limit: MAX_COLLECTED_FILES }]);
  }
  return ok([...files]);
};

const readEntry = async (
  file: string,
): Promise<Result<ConfigurationEntry, readonly SettingsError[]>> => {
  const text = await readTextFile(file, MAX_CONFIGURATION_FILE_BYTES);
  if (text.isErr()) return err([createUnreadableFileError(file, text.error.message)]);
  return parseJsonc(text.value, file, entrySchema);
};

const collectFiles = async (
  directories: readonly string[],
): Promise<Result<CollectedConfiguration, readonly CollectionError[]>> => {
  const found = await listAllFiles(directories);
  if (found.isErr()) return err(found.error);
  const errors: CollectionError[] = [];
  const entries = new Map<EntryKey, ConfigurationEntry>();
  const files = new Map<EntryKey, string>();
  for (const file of found.value) {
    const entry = await readEntry(file);
    if (entry.isErr()) {
      for (const error of entry.error) errors.push({ type: 'invalid_file', error });
      continue;
    }
    const key = getEntryKey(entry.value);
    const other = files.get(key);
    if (other !== undefined) errors.push({ type: 'duplicate_entry', key, files: [other, file] });
    entries.set(key, entry.value);
    files.set(key, file);
  }
  return errors.length > 0 ? err(errors) : ok({ entries, files });
};

/**
 * Collects and validates the files `*.lovagearch.jsonc` below directories, except in hidden
 * directories and `node_modules`. Symbolic links are not followed.
 *
 * @returns the entries, or the errors of all files
 * @example
 * const collected = await collectConfiguration(['services/estimator']);
 */
export const collectConfiguration = (
  directories: readonly string[],
): ResultAsync<CollectedConfiguration, readonly CollectionError[]> =>
  new ResultAsync(collectFiles(directories));
