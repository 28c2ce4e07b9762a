import { createHash } from 'node:crypto';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes a 32-bit FNV-1a hash with a finalizer, for placement only (not for identity).
 *
 * @example
 * computeHash32('runner-3'); // an integer from 0 to 2**32 - 1
 */
export const computeHash32 = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone gives similar inputs similar high bits, which skews rendezvous scores.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Computes the SHA-256 digest of a text or bytes, in hexadecimal. */
export const computeSha256Hex = (data: string | Uint8Array): string =>
  createHash('sha256').update(data).digest('hex');

/**
 * Ranks members for a key by rendezvous hashing: each change of the member set moves only the
 * keys of the members that changed.
 *
 * @returns the `count` best members, best first; fewer if there are fewer members
 * @example
 * getRendezvousOwners('anchor-1f', ['a', 'b', 'c'], 2); // ['c', 'a']
 */
export const getRendezvousOwners = <Member extends string>(
  key: string,
  members: readonly Member[],
  count: number,
): Member[] => {
  const keyHash = computeHash32(key);
  const best: { member: Member; score: number }[] = [];
  for (const member of members) {
    const score = computeHash32(`${member}/${keyHash}`);
    const position = best.findIndex(
      (other) => score > other.score || (score === other.score && member < other.member),
    );
    if (position >= 0) best.splice(position, 0, { member, score });
    else if (best.length < count) best.push({ member, score });
    if (best.length > count) best.pop();
  }
  return best.map(({ member }) => member);
};
