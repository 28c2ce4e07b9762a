import { type CollectedConfiguration, collectConfiguration } from '@lovagearch/configuration';
import { Args } from '@oclif/core';
import { BaseCommand } from './baseCommand.js';
import { EXIT_BAD_INPUT } from './constants.js';
import { formatCollectionError } from './formatErrors.js';

/** Argument of the commands below; each of them names it, since oclif reads own properties only. */
export const directoryArgs = {
  directory: Args.string({ description: 'directories with configuration files', required: true }),
};

/** A command that takes directories with configuration files. */
export abstract class ConfigurationCommand extends BaseCommand {
  /** Collects the directories; ends the command if a file has a fault or none is found. */
  protected async collect(directories: readonly string[]): Promise<CollectedConfiguration> {
    const collected = await collectConfiguration(directories);
    if (collected.isErr()) {
      return this.fail(EXIT_BAD_INPUT, collected.error.map(formatCollectionError));
    }
    // An empty collection under a name would delete everything that the name published.
    if (collected.value.entries.size === 0) {
      return this.fail(EXIT_BAD_INPUT, ['no file *.lovagearch.jsonc was found']);
    }
    return collected.value;
  }
}
