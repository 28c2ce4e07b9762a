import { assertNever } from '@lovagearch/common';
import type { CollectionError, PublishError } from '@lovagearch/configuration';
import { formatSettingsError } from '@lovagearch/settings';
import {
  EXIT_BAD_INPUT,
  EXIT_CONFLICT,
  EXIT_PLATFORM_UNAVAILABLE,
  EXIT_FAILED,
} from './constants.js';

/** Formats an error in the configuration files as one line. */
export const formatCollectionError = (error: CollectionError): string => {
  switch (error.type) {
    case 'invalid_file':
      return formatSettingsError(error.error);
    case 'duplicate_entry':
      return `${error.key} is defined in both ${error.files[0]} and ${error.files[1]}`;
    case 'too_many_files':
      return `more than ${error.limit} configuration files, or a directory is too large`;
    case 'unreadable_directory':
      return `${error.directory}: ${error.message}`;
    default:
      return assertNever(error);
  }
};

/** Returns the exit code for a failed publication and its errors, one per line. */
export const formatPublishError = (
  error: PublishError,
): { readonly exitCode: number; readonly lines: readonly string[] } => {
  switch (error.type) {
    case 'publish_conflict':
      return {
        exitCode: EXIT_CONFLICT,
        lines: error.conflicts.map(
          ({ key, winner, winnerRevision }) =>
            `publish_conflict: ${key} was changed by ${winner} in revision ${winnerRevision}`,
        ),
      };
    case 'invalid_configuration':
      return {
        exitCode: EXIT_BAD_INPUT,
        lines: error.errors.map(({ key, message }) => `${key}: ${message}`),
      };
    case 'too_large':
      return { exitCode: EXIT_BAD_INPUT, lines: [`${error.type}: ${error.message}`] };
    case 'outcome_unknown':
    case 'platform_unavailable':
      return { exitCode: EXIT_PLATFORM_UNAVAILABLE, lines: [`${error.type}: ${error.message}`] };
    case 'invalid_platform_data':
      return { exitCode: EXIT_FAILED, lines: [`${error.type}: ${error.message}`] };
    default:
      return assertNever(error);
  }
};
