import { readFile, stat } from 'node:fs/promises';
import { getErrorMessage } from '@lovagearch/common';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { z } from 'zod';
import { MAX_FILE_BYTES } from './constants.js';
import { createUnreadableFileError, type SettingsError } from './errors.js';
import { parseJsonc } from './jsonc.js';

const readBoundedText = async (file: string, maxBytes: number): Promise<string> => {
  const { size } = await stat(file);
  if (size > maxBytes) throw new RangeError(`the file is larger than ${maxBytes} B`);
  return readFile(file, 'utf8');
};

/**
 * Reads a text file of limited size.
 *
 * @param maxBytes a larger file is reported as `unreadable_file`
 */
export const readTextFile = (
  file: string,
  maxBytes = MAX_FILE_BYTES,
): ResultAsync<string, SettingsError> =>
  ResultAsync.fromPromise(readBoundedText(file, maxBytes), (error) =>
    createUnreadableFileError(file, `can't be read: ${getErrorMessage(error)}`),
  );

/**
 * Loads a file of JSON with comments and validates it against a schema.
 *
 * @returns the validated value, or the errors with file, line, column and key
 * @example
 * const settings = await loadSettings('entry.jsonc', settingsSchema);
 */
export const loadSettings = <Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): ResultAsync<z.infer<Schema>, readonly SettingsError[]> =>
  readTextFile(file)
    .mapErr((error): readonly SettingsError[] => [error])
    .andThen((text) => {
      const parsed = parseJsonc(text, file, schema);
      return parsed.isOk() ? okAsync(parsed.value) : errAsync(parsed.error);
    });
