import t from 'tap';
import fc from 'fast-check';
import { listDeepestAnchors } from './anchors.js';
import { computeBlockKeys } from './blockKeys.js';
import { IndexShard } from './indexShard.js';
import { selectMatchingLocations, type Location } from './locations.js';
import { PrefixCatalog } from './prefixCatalog.js';
import { ReuseHistory } from './reuseHistory.js';
import { SegmentCatalog } from './segmentCatalog.js';

const identity = { account: 'zamu-01', model: 'roster-8b', weightVersion: 'v1' };
const prompt = 'shift rules for the night closure '.repeat(200);

const createLocation = (overrides: Partial<Location>): Location => ({
  kind: 'runner',
  holder: 'runner-1',
  region: 'nairobi',
  depth: 4,
  tailKey: 'k',
  sha256: '',
  boot: 'b1',
  ...overrides,
});

t.test('keys of another account, model, version or adapter never match', async (t2) => {
  const variants = [
    identity,
    { ...identity, account: 'zamu-02' },
    { ...identity, model: 'roster-9b' },
    { ...identity, weightVersion: 'v2' },
    { ...identity, adapter: 'a' },
  ];
  const keys = variants.flatMap((variant) => computeBlockKeys(variant, prompt));
  t2.equal(new Set(keys).size, keys.length);
});

t.test('characters moved from one field to another change the key', async (t2) => {
  fc.assert(
    fc.property(fc.string(), fc.string(), fc.string(), (account, model, version) => {
      const [first] = computeBlockKeys({ account, model, weightVersion: version }, prompt);
      const [shifted] = computeBlockKeys(
        { account: `${account}${model}x`, model: '', weightVersion: version },
        prompt,
      );
      return first !== shifted;
    }),
    { seed: 11 },
  );
  t2.pass();
});

t.test('keys agree exactly up to the first differing block', async (t2) => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 5_000 }), (position) => {
      const changed = `${prompt.slice(0, position)}#${prompt.slice(position + 1)}`;
      const before = computeBlockKeys(identity, prompt);
      const after = computeBlockKeys(identity, changed);
      const firstChanged = Math.floor(position / 256);
      return before.every((key, block) => (key === after[block]) === block < firstChanged);
    }),
    { seed: 12 },
  );
  t2.pass();
});

t.test('a prefix that diverges after its anchor is not a match', async (t2) => {
  const chain = computeBlockKeys(identity, prompt);
  const other = computeBlockKeys(identity, `${prompt.slice(0, 1_200)}${'x'.repeat(2_000)}`);
  const shard = IndexShard.create();
  const [anchor] = listDeepestAnchors(other).filter(({ depth }) => depth === 4);
  shard.add(anchor!.key, createLocation({ depth: 6, tailKey: other[5]! }));
  t2.same(selectMatchingLocations(chain, shard.get(anchor!.key)), []);
  shard.add(anchor!.key, createLocation({ holder: 'runner-2', depth: 4, tailKey: chain[3]! }));
  t2.equal(selectMatchingLocations(chain, shard.get(anchor!.key))[0]?.holder, 'runner-2');
});

t.test('locations of a restarted runner are all removed', async (t2) => {
  const shard = IndexShard.create();
  shard.add('a', createLocation({ holder: 'runner-1' }));
  shard.add('a', createLocation({ holder: 'runner-2' }));
  shard.add('b', createLocation({ holder: 'runner-1' }));
  shard.removeHolder('runner-1');
  t2.same(shard.get('b'), []);
  t2.equal(shard.get('a').length, 1);
});

t.test('reused prefixes are exported before those seen once', async (t2) => {
  const catalog = PrefixCatalog.create(ReuseHistory.create());
  const report = { account: 'zamu-01', anchor: 'a', depth: 16 };
  catalog.add({ ...report, tailKey: 'seen-once' }, 0);
  catalog.add({ ...report, tailKey: 'seen-twice' }, 1);
  catalog.add({ ...report, tailKey: 'seen-twice' }, 2);
  t2.equal(
    catalog.chooseExport(0.1),
    undefined,
    'nothing is exported while the cache has free space',
  );
  t2.equal(catalog.chooseExport(0.9)?.tailKey, 'seen-twice');
  catalog.updateExportState('seen-twice', 'stored');
  t2.equal(catalog.chooseExport(0.9)?.tailKey, 'seen-once');
  t2.same(
    catalog.removeEvicted(['seen-once', 'unknown']).map(({ tailKey }) => tailKey),
    ['seen-once'],
  );
});

t.test('a full store VM evicts the segments with the lowest expected benefit first', async (t2) => {
  const catalog = SegmentCatalog.create(1_000);
  const segment = { anchor: 'a', bytes: 10, depth: 8, usedAtMs: 0 };
  catalog.add({ ...segment, segmentId: 'likely', returnChance: 0.9 });
  catalog.add({ ...segment, segmentId: 'unlikely', returnChance: 0.1 });
  t2.same(catalog.chooseEvictions(80, 100, 0), []);
  t2.same(
    catalog.chooseEvictions(90.5, 100, 0).map(({ segmentId }) => segmentId),
    ['unlikely', 'likely'],
  );
});
