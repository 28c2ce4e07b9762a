import { mkdir, mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import type { Result } from 'neverthrow';
import t from 'tap';
import { checkEntries, collectConfiguration, ConfigurationView } from './index.js';

const writeFiles = async (files: Record<string, object>): Promise<string> => {
  const root = await mkdtemp(join(tmpdir(), 'configuration-'));
  for (const [name, content] of Object.entries(files)) {
    const path = join(root, `${name}.lovagearch.jsonc`);
    await mkdir(dirname(path), { recursive: true });
    await writeFile(path, `// comment\n${JSON.stringify(content)}`);
  }
  return root;
};

/** Returns the value of a result; throws if it is an error. */
const getValue = <Value, Failure>(result: Result<Value, Failure>): Value => {
  if (result.isErr()) throw new TypeError(JSON.stringify(result.error));
  return result.value;
};

const ledger = {
  kind: 'service',
  name: 'ledger',
  type: 'plain',
  routes: [
    { method: 'POST', path: '/claims', idempotent: false, timeoutMs: 5_000 },
    { method: 'POST', path: '/search/*', idempotent: true },
  ],
};
const account = (name: string, digit: string) => ({
  kind: 'account',
  name,
  keySha256: [digit.repeat(64)],
  services: ['ledger'],
  promptTokensPerSecond: 10,
  maxConcurrent: 2,
});

t.test('files in hidden directories and node_modules are not collected', async (t2) => {
  const root = await writeFiles({ 'a/ledger': ledger, '.git/x': {}, 'node_modules/y': {} });
  const collected = getValue(await collectConfiguration([root, join(root, 'a')]));
  t2.same([...collected.entries.keys()], ['service/ledger']);
});

t.test('duplicate entries and invalid files are reported', async (t2) => {
  const root = await writeFiles({ a: ledger, b: ledger, c: { ...account('x', 'a'), extra: 1 } });
  const collected = await collectConfiguration([root]);
  t2.match(collected.isErr() && collected.error, [
    { type: 'duplicate_entry', files: [/a\.lovagearch/, /b\.lovagearch/] },
    { type: 'invalid_file', error: { key: 'extra', type: 'unknown_key', line: 2 } },
  ]);
});

t.test('cross checks find inconsistent entries, and routes are matched by path', async (t2) => {
  const model = { kind: 'model', name: 'm', service: 'ledger', weightVersion: 'v1' };
  const root = await writeFiles({
    a: account('a', 'a'),
    b: account('b', 'a'),
    m: model,
    l: ledger,
  });
  const { entries } = getValue(await collectConfiguration([root]));
  t2.match(checkEntries(entries), [
    { type: 'duplicate_key_hash', key: 'account/b' },
    { type: 'wrong_service_type' },
  ]);
  t2.equal(
    checkEntries(new Map([...entries].filter(([key]) => key !== 'service/ledger'))).length,
    4,
  );
  const view = ConfigurationView.create(1, entries);
  t2.match(view.getRouteRule('ledger', 'post', '/claims'), { idempotent: false, timeoutMs: 5_000 });
  t2.match(view.getRouteRule('ledger', 'POST', '/search/x'), { idempotent: true });
  t2.match(view.getRouteRule('ledger', 'POST', '/other'), { idempotent: false });
  t2.match(view.getRouteRule('ledger', 'GET', '/other'), { idempotent: true });
  t2.equal(view.getRouteRule('none', 'GET', '/'), undefined);
});
