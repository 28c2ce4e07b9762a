import t from 'tap';
import { getRendezvousOwners } from './hashing.js';

const members = Array.from({ length: 50 }, (_, index) => `node-${index}`);
const keys = Array.from({ length: 5_000 }, (_, index) => `key-${index}`);

t.test('removing a member moves only the keys that it owned', async (t2) => {
  const rest = members.filter((member) => member !== 'node-7');
  for (const key of keys) {
    const [before] = getRendezvousOwners(key, members, 1);
    const [after] = getRendezvousOwners(key, rest, 1);
    if (before !== 'node-7' && before !== after) t2.fail(`key ${key} moved`);
  }
});

t.test('no member owns more than twice its share of the keys', async (t2) => {
  const counts = new Map<string, number>();
  for (const key of keys) {
    const [owner] = getRendezvousOwners(key, members, 1);
    counts.set(owner!, (counts.get(owner!) ?? 0) + 1);
  }
  t2.ok(Math.max(...counts.values()) < (2 * keys.length) / members.length);
});
