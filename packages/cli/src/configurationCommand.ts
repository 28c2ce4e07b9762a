import { type CollectedConfiguration, collectConfiguration } from '@lovagearch/configuration';
import { Args } from '@oclif/core';
import { BaseCommand } from './baseCommand.js';
import { EXIT_BAD_INPUT } from './constants.js';
import { formatCollectionError } from './formatErrors.js';

/** Arguments of the subclasses; each must assign them, as oclif reads a class's own properties only. */
export const directoryArgs = {
  directory: Args.string({ description: 'directories with configuration files', required: true }),
};

/** Base class of commands that take directories with configuration files. */
export abstract class ConfigurationCommand extends BaseCommand {
  /** Reads all configuration files; ends the command if one is invalid or none is found. */
  protected async collect(directories: readonly string[]): Promise<CollectedConfiguration> {
    const collected = await collectConfiguration(directories);
    if (collected.isErr()) {
      return this.fail(EXIT_BAD_INPUT, collected.error.map(formatCollectionError));
    }
    // Publishing no entries would delete everything that this publisher name published before.
    if (collected.value.entries.size === 0) {
      return this.fail(EXIT_BAD_INPUT, ['no *.lovagearch.jsonc files found']);
    }
    return collected.value;
  }
}
