import { dirname, resolve } from 'node:path';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { MAX_KEY_FILE_BYTES } from './constants.js';
import type { SettingsError } from './errors.js';
import { getKeyPosition } from './jsonc.js';
import { loadSettings, readTextFile } from './load.js';
import { type Settings, settingsSchema } from './schema.js';

/** Settings of a process and the contents of its key files. The keys must not be logged. */
export interface ProcessSettings extends Settings {
  readonly clusterKey: string;
  readonly serviceToken: string;
}

type KeyFileSetting = 'clusterKeyFile' | 'serviceTokenFile';

const readKeyFile = async (
  settingsFile: string,
  settings: Settings,
  setting: KeyFileSetting,
): Promise<Result<string, SettingsError>> => {
  const path = resolve(dirname(settingsFile), settings[setting]);
  const content = await readTextFile(path, MAX_KEY_FILE_BYTES);
  const key = content.map((text) => text.trim()).unwrapOr('');
  if (key !== '') return ok(key);
  const text = (await readTextFile(settingsFile)).unwrapOr('');
  const reason = content.isErr() ? content.error.message : 'the file is empty';
  return err({
    type: 'unreadable_file',
    file: settingsFile,
    ...getKeyPosition(text, [setting]),
    key: setting,
    message: `${settings[setting]}: ${reason}`,
  });
};

const readKeyFiles = async (
  file: string,
  settings: Settings,
): Promise<Result<ProcessSettings, readonly SettingsError[]>> => {
  const clusterKey = await readKeyFile(file, settings, 'clusterKeyFile');
  const serviceToken = await readKeyFile(file, settings, 'serviceTokenFile');
  if (clusterKey.isOk() && serviceToken.isOk()) {
    return ok({ ...settings, clusterKey: clusterKey.value, serviceToken: serviceToken.value });
  }
  const errors: SettingsError[] = [];
  if (clusterKey.isErr()) errors.push(clusterKey.error);
  if (serviceToken.isErr()) errors.push(serviceToken.error);
  return err(errors);
};

/**
 * Loads the settings file of a process and its key files, whose paths are relative to the settings
 * file. Whitespace around a key is trimmed; an empty key file is an error.
 *
 * @example
 * const settings = await loadProcessSettings('/etc/lovagearch/entry.jsonc');
 */
export const loadProcessSettings = (
  file: string,
): ResultAsync<ProcessSettings, readonly SettingsError[]> =>
  loadSettings(file, settingsSchema).andThen(
    (settings) => new ResultAsync(readKeyFiles(file, settings)),
  );
