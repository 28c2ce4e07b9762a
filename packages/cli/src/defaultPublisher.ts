import { hostname, userInfo } from 'node:os';
import { resolve } from 'node:path';
import { computeSha256Hex } from '@lovagearch/common';

const PATHS_DIGEST_HEX_DIGITS = 12;

/**
 * Returns the publisher name that is used without `--name`: user, host and a digest of the
 * directories' paths. Thus entries whose files were removed are deleted only when the same
 * directories are published again.
 */
export const getDefaultPublisher = (directories: readonly string[]): string => {
  const paths = directories.map((directory) => resolve(directory)).sort();
  const digest = computeSha256Hex(paths.join('\n')).slice(0, PATHS_DIGEST_HEX_DIGITS);
  return `${userInfo().username}@${hostname()}/${digest}`;
};
