import {
  applyChanges,
  checkEntries,
  EMPTY_BUNDLE,
  readBundle,
  readHead,
} from '@lovagearch/configuration';
import { Flags } from '@oclif/core';
import { ConfigurationCommand, directoryArgs } from './configurationCommand.js';
import { EXIT_BAD_INPUT, EXIT_PLATFORM_UNAVAILABLE } from './constants.js';

/** Validates configuration files without publishing them. */
export class CheckCommand extends ConfigurationCommand {
  static override args = directoryArgs;

  static override strict = false;

  static override summary =
    'Check configuration files; with --settings, also against the published configuration.';

  static override flags = {
    settings: Flags.string({ description: 'settings file with the URLs of the platform' }),
  };

  async run() {
    const { argv, flags } = await this.parse(CheckCommand);
    const { entries, files } = await this.collect(argv.map(String));
    const current =
      flags.settings === undefined ? EMPTY_BUNDLE : await this.readCurrent(flags.settings);
    const errors = checkEntries(applyChanges(current, entries));
    if (errors.length > 0) {
      const lines = errors.map(
        ({ key, message }) => `${files.get(key) ?? 'published configuration'}: ${key}: ${message}`,
      );
      return this.fail(EXIT_BAD_INPUT, lines);
    }
    this.log(`${entries.size} entries are valid.`);
    return { entries: [...entries.keys()] };
  }

  private async readCurrent(settingsFile: string) {
    const platform = await this.openPlatform(settingsFile);
    const bundle = await readHead(platform.table).andThen(({ head }) =>
      readBundle(platform.objects, head),
    );
    if (bundle.isOk()) return bundle.value;
    return this.fail(EXIT_PLATFORM_UNAVAILABLE, [bundle.error.message]);
  }
}
