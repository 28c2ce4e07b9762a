import t from 'tap';
import {
  createKinds,
  type Policy,
  simulateSite,
  type SiteScenario,
  type Tally,
} from './testOverloadedSite.js';

const createBurst = (factor: number) => (nowMs: number) =>
  nowMs > 1_000 && nowMs < 4_000 ? factor : 1;

const getServedShare = ({ offered, inTime, late }: Tally): number => (inTime + late) / offered;

/** A late response is worth about a third of one in time, a refusal nothing. */
const getWorth = ({ offered, inTime, late }: Tally): number => (inTime + late / 3) / offered;

const formatTallies = (tallies: ReadonlyMap<string, Tally>): string =>
  [...tallies]
    .filter(([name]) => !/account \d/.test(name))
    .map(([name, { offered, inTime, late }]) => {
      const [inTimePercent, latePercent] = [inTime, late].map((count) => (count / offered) * 100);
      return `${name} ${inTimePercent!.toFixed(0)}+${latePercent!.toFixed(0)}`;
    })
    .sort()
    .join(', ');

const SCENARIOS: readonly (readonly [string, SiteScenario])[] = [
  ['a burst of bulk prompts before urgent streams', { kinds: createKinds(createBurst(8)) }],
  [
    'one account at ten times its share',
    { kinds: createKinds(() => 5), firstAccountShare: 10 / 33 },
  ],
  ['callers that repeat at once', { kinds: createKinds(() => 5), repeats: 100 }],
  [
    'a third of the nodes cut off during a burst',
    { kinds: createKinds(createBurst(8)), partitionedShare: 1 / 3 },
  ],
  ['engines lost at peak load', { kinds: createKinds(() => 3.2), lostEngines: 10 }],
];

for (const [name, scenario] of SCENARIOS) {
  t.test(`${name}: urgent kinds are in time and nobody is cut off`, async (t2) => {
    const simulate = (policy: Policy) => {
      const tallies = simulateSite(scenario, policy, 1);
      t2.comment(`${policy}: ${formatTallies(tallies)}`);
      return (tally: string): Tally => tallies.get(tally)!;
    };
    const [naive, isolated, shared] = [simulate('naive'), simulate('isolated'), simulate('shared')];
    const [chat, short, bulk] = [shared('chat'), shared('short'), shared('bulk')];
    t2.ok(getWorth(chat) > 0.97 && getWorth(short) > 0.9, 'urgent kinds are in time');
    t2.ok(getServedShare(chat) >= getServedShare(short) - 0.01, 'chat is served as often as short');
    t2.ok(getServedShare(short) >= getServedShare(bulk) - 0.01, 'short is served as often as bulk');
    t2.ok(getWorth(bulk) > getWorth(naive('bulk')), 'bulk is worth more than if all are admitted');
    t2.ok(
      getWorth(chat) + getWorth(short) > getWorth(isolated('chat')) + getWorth(isolated('short')),
    );
    t2.ok(
      getServedShare(shared('bulk large')) > getServedShare(bulk) / 2,
      'the largest tenth is served at least half as often',
    );
    const [first, others] = [shared('account first'), shared('account others')];
    t2.ok(getServedShare(first) > getServedShare(others) / 2, 'no account is cut off');
    if (scenario.firstAccountShare !== undefined)
      t2.ok(getWorth(others) > getWorth(first) + 0.05, 'the account above its share gives way');
    if (scenario.repeats !== undefined)
      t2.ok(getWorth(first) < getWorth(others) + 0.05, 'repeating at once gains nothing');
    for (let account = 1; account < 24; account++)
      t2.ok(getServedShare(shared(`account ${account}`)) > 0.85, `account ${account} is served`);
  });
}

t.test('with free capacity no policy changes who is served', async (t2) => {
  const scenario = { kinds: createKinds(() => 1) };
  for (const policy of ['isolated', 'shared'] as const) {
    const tallies = simulateSite(scenario, policy, 1);
    for (const name of ['chat', 'short', 'bulk'])
      t2.ok(tallies.get(name)!.inTime / tallies.get(name)!.offered > 0.98, `${policy} ${name}`);
  }
});
