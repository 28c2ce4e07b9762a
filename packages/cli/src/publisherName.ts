import { hostname, userInfo } from 'node:os';
import { resolve } from 'node:path';
import { computeSha256Hex } from '@lovagearch/common';

const DIRECTORIES_DIGEST_LENGTH = 12;

/**
 * Returns the name under which directories are published without `--name`: user, machine and a
 * digest of the directories' paths. So only a publication of the same directories deletes entries
 * whose files are gone.
 */
export const getDefaultPublisher = (directories: readonly string[]): string => {
  const paths = directories.map((directory) => resolve(directory)).sort();
  const digest = computeSha256Hex(paths.join('\n')).slice(0, DIRECTORIES_DIGEST_LENGTH);
  return `${userInfo().username}@${hostname()}/${digest}`;
};
