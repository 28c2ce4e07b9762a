import { createRandom, type Random } from '@lovagearch/common';
import { errAsync, okAsync, type Result } from 'neverthrow';
import t from 'tap';
import {
  type ConfigurationEntry,
  type ConfigurationObjects,
  ConfigurationState,
  type ConfigurationTable,
  computeDigest,
  getEntryKey,
  modelSchema,
  publishConfiguration,
  readBundle,
  readHead,
} from './index.js';

const HISTORIES = 2_000;
const SEED = Number(process.env.SEED ?? Date.now() % 1e9);

/** Returns the value of a result; throws if it is an error. */
const getValue = <Value, Failure>(result: Result<Value, Failure>): Value => {
  if (result.isErr()) throw new TypeError(JSON.stringify(result.error));
  return result.value;
};

/** A table and an object store that lose responses, delay writes and become unavailable. */
class FaultyPlatform implements ConfigurationObjects {
  readonly row = { value: undefined as unknown, version: 0, attemptId: null as string | null };

  readonly accepted: { readonly revision: number; readonly digest: string }[] = [];

  readonly objects = new Map<string, Uint8Array>();

  private delayedWrites: (() => void)[] = [];

  faultRate = 0;

  constructor(private readonly random: Random) {}

  private hasFault(): boolean {
    return this.random() < this.faultRate;
  }

  private applyWrite(value: unknown, ifVersion: number | undefined, attemptId: string): boolean {
    if (ifVersion !== this.row.version) return false;
    Object.assign(this.row, { value, version: this.row.version + 1, attemptId });
    const { revision, digest } = value as { revision: number; digest: string };
    this.accepted.push({ revision, digest });
    return true;
  }

  readonly table: ConfigurationTable = {
    read: () => {
      if (this.hasFault()) return errAsync({ type: 'unavailable' as const, message: 'down' });
      if (this.random() < 0.5)
        for (const applyDelayed of this.delayedWrites.splice(0)) applyDelayed();
      return okAsync(this.row.version === 0 ? null : { ...this.row });
    },
    write: (_key, value, ifVersion, attemptId) => {
      const lost = { type: 'outcome_unknown' as const, message: 'lost' };
      if (this.hasFault()) {
        this.delayedWrites.push(() => this.applyWrite(value, ifVersion, attemptId));
        return errAsync(lost);
      }
      const isApplied = this.applyWrite(value, ifVersion, attemptId);
      if (this.hasFault()) return errAsync(lost);
      if (isApplied) return okAsync({ version: this.row.version });
      const current = this.row.version === 0 ? null : { ...this.row };
      return errAsync({ type: 'conflict' as const, current });
    },
  };

  read(name: string) {
    const bytes = this.objects.get(name);
    return bytes === undefined || this.hasFault()
      ? errAsync({ type: 'unavailable' })
      : okAsync(bytes);
  }

  write(name: string, bytes: Uint8Array) {
    if (this.hasFault()) return errAsync({ type: 'unavailable' });
    this.objects.set(name, bytes);
    return okAsync(undefined);
  }
}

const createEntries = (names: readonly string[], version: string) => {
  const service = { kind: 'service', name: 's', type: 'model' } as ConfigurationEntry;
  const entries = new Map([['service/s', service]]);
  for (const name of names) {
    const model = modelSchema.parse({ kind: 'model', name, service: 's', weightVersion: version });
    entries.set(getEntryKey(model), model);
  }
  return entries;
};

const publish = (platform: FaultyPlatform, publisher: string, names: string[], version: string) => {
  let attempts = 0;
  return publishConfiguration({
    ...platform,
    objects: platform,
    entries: createEntries(names, version),
    publisher,
    createAttemptId: () => `${publisher}-${version}-${attempts++}`,
    waitBeforeRetry: () => Promise.resolve(),
  });
};

const runHistory = async (seed: number) => {
  const random = createRandom(seed);
  const platform = new FaultyPlatform(random);
  const states = [ConfigurationState.create(), ConfigurationState.create()];
  const revisions: number[][] = [[], []];
  const accepted: { readonly revision: number; readonly name: string }[] = [];
  for (let round = 0; round < 6; round++) {
    platform.faultRate = random() < 0.3 ? 0.5 : 0.05;
    const publishers = ['a', 'b', 'c'].filter(() => random() < 0.6);
    const runs = publishers.map((publisher) =>
      publish(platform, publisher, [publisher, 'shared'], `v${round}${publisher}`),
    );
    for (const [index, run] of (await Promise.all(runs)).entries()) {
      if (run.isOk() && run.value.changed.length > 0)
        accepted.push({ revision: run.value.revision, name: publishers[index]! });
    }
    for (const [index, state] of states.entries()) {
      const head = (await readHead(platform.table)).unwrapOr(null)?.head ?? null;
      const bundle = await readBundle(platform, head);
      if (head !== null && bundle.isOk()) state.applyBundle(bundle.value, head.digest);
      const delta = states[1 - index]!.getDelta(state.revision);
      if (delta !== undefined && random() < 0.5) state.applyDelta(delta);
      revisions[index]!.push(state.revision);
    }
  }
  return { platform, states, revisions, accepted };
};

t.test(
  'accepted publications take effect exactly once despite platform faults and races',
  async (t2) => {
    let count = 0;
    for (let seed = SEED; seed < SEED + HISTORIES; seed++) {
      const { platform, states, revisions, accepted } = await runHistory(seed);
      const fail = (violation: string) => t2.fail(`${violation} (SEED=${seed})`);
      for (const [index, { revision }] of platform.accepted.entries()) {
        if (revision !== index + 1) fail('a revision was assigned twice or skipped');
      }
      for (const { revision } of accepted) {
        if (revision > platform.accepted.length)
          fail('an acknowledged publication did not take effect');
      }
      for (const list of revisions) {
        if (list.some((revision, index) => index > 0 && revision < list[index - 1]!))
          fail('a state moved to a lower revision');
      }
      for (const state of states) {
        const { digest } = platform.accepted[state.revision - 1] ?? {};
        if (state.revision > 0 && state.digest !== digest)
          fail('the digest of a state differs from that of its revision');
      }
      const written = new Set(accepted.map(({ revision }) => revision));
      if (written.size !== accepted.length) fail('two publishers were given the same revision');
      count += accepted.length;
    }
    t2.ok(count > HISTORIES, `${count} publications were accepted, seed ${SEED}`);
  },
);

t.test(
  'concurrent changes conflict if they change the same entry and are merged if they do not',
  async (t2) => {
    const platform = new FaultyPlatform(createRandom(1));
    getValue(await publish(platform, 'first', ['x'], 'v0'));
    const [one, two] = await Promise.all([
      publish(platform, 'one', ['x'], 'v1'),
      publish(platform, 'two', ['x'], 'v2'),
    ]);
    t2.equal([one, two].filter((result) => result.isOk()).length, 1);
    const loser = one.isErr() ? one : two;
    t2.match(loser.isErr() && loser.error, {
      type: 'publish_conflict',
      conflicts: [{ key: 'model/x', winnerRevision: 2 }],
    });
    const both = await Promise.all([
      publish(platform, 'one', ['y'], 'v1'),
      publish(platform, 'two', ['z'], 'v1'),
    ]);
    t2.ok(both.every((result) => result.isOk()));
  },
);

t.test("a publication deletes only its own publisher's entries", async (t2) => {
  const platform = new FaultyPlatform(createRandom(1));
  getValue(await publish(platform, 'one', ['x', 'y'], 'v0'));
  t2.same(getValue(await publish(platform, 'two', ['z'], 'v0')).deleted, []);
  t2.same(getValue(await publish(platform, 'one', ['x'], 'v0')).deleted, ['model/y']);
});

t.test('a state rejects an older, forked or altered bundle', async (t2) => {
  const platform = new FaultyPlatform(createRandom(1));
  const state = ConfigurationState.create();
  getValue(await publish(platform, 'one', ['x'], 'v0'));
  const old = getValue(await readHead(platform.table)).head!;
  const oldBundle = getValue(await readBundle(platform, old));
  getValue(await publish(platform, 'one', ['x'], 'v1'));
  const { head } = getValue(await readHead(platform.table));
  const bundle = getValue(await readBundle(platform, head));
  t2.ok(state.applyBundle(bundle, head!.digest).isOk());
  const getType = (result: ReturnType<typeof state.applyBundle>) =>
    result.isErr() && result.error.type;
  t2.equal(getType(state.applyBundle(oldBundle, old.digest)), 'older_revision');
  t2.equal(getType(state.applyBundle({ ...oldBundle, revision: 2 }, 'f')), 'revision_fork');
  t2.equal(getType(state.applyBundle({ ...bundle, revision: 3 }, 'f')), 'digest_mismatch');
  const reverted = { ...oldBundle, revision: 3 };
  t2.equal(getType(state.applyBundle(reverted, computeDigest(reverted))), 'entry_reverted');
  t2.equal(state.view.getModel('x')?.weightVersion, 'v1');
});
