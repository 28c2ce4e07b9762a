/** One error in a file. Line and column start at 1; `key` is empty for errors that concern no single key. */
export interface SettingsError {
  readonly type:
    | 'duplicate_key'
    | 'missing_value'
    | 'syntax'
    | 'unknown_key'
    | 'unreadable_file'
    | 'wrong_value';
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly key: string;
  readonly message: string;
}

/**
 * Formats an error as one line.
 *
 * @example
 * formatSettingsError(error);
 * // 'entry.jsonc:7: listen.peerPort: expected an integer from 0 to 65535, got "x"'
 */
export const formatSettingsError = (error: SettingsError): string => {
  const place = `${error.file}:${error.line}`;
  return error.key === ''
    ? `${place}: ${error.message}`
    : `${place}: ${error.key}: ${error.message}`;
};

/** Creates the error for a file that can't be read. */
export const createUnreadableFileError = (file: string, message: string): SettingsError => ({
  type: 'unreadable_file',
  file,
  line: 1,
  column: 1,
  key: '',
  message,
});
