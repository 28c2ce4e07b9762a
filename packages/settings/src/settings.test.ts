import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import t from 'tap';
import { formatSettingsError, loadProcessSettings, parseJsonc, settingsSchema } from './index.js';

const LINES = [
  '{ // example settings',
  '  "region": "south",',
  '  "zone": "chiayi",',
  '  "platform": { "tableUrl": "http://h:1", "objectUrl": "http://h:2", "vmListUrl": "http://h:3" },',
  '  "clusterKeyFile": "cluster.key", "serviceTokenFile": "service.token",',
  '  "listen": { "host": "127.0.0.1", "callerPort": 0, "adminPort": 0,',
  '    "peerPort": 0 },',
  '  "drainLimitMs": 5000,',
  '}',
];

const listErrors = (line: number, replacement: string): string[] => {
  const text = LINES.map((content, index) => (index + 1 === line ? replacement : content));
  const parsed = parseJsonc(text.join('\n'), 'entry.jsonc', settingsSchema);
  return parsed.isErr() ? parsed.error.map(formatSettingsError) : [];
};

t.test('errors in the settings are reported with their line and key', async (t2) => {
  t2.same(listErrors(1, LINES[0]!), []);
  t2.same(listErrors(7, '    "peerPort": "x" },'), [
    'entry.jsonc:7: listen.peerPort: expected an integer from 0 to 65535, got "x"',
  ]);
  t2.same(listErrors(8, '  "drainLimitMs": "5 s",'), [
    'entry.jsonc:8: drainLimitMs: expected a whole number of milliseconds from 0 to 3600000, got "5 s"',
  ]);
  t2.same(listErrors(8, '  "drainLimitS": 5,'), ['entry.jsonc:8: drainLimitS: unknown key']);
  t2.match(listErrors(3, ''), [/^entry\.jsonc:1: zone: missing value/]);
  t2.match(listErrors(8, '  "drainLimitMs" 5,'), [/^entry\.jsonc:8: syntax error: ColonExpected/]);
  t2.match(listErrors(8, '  "zone": "x",'), ['entry.jsonc:8: zone: given twice']);
});

t.test('a key entered instead of its digest does not appear in the error', async (t2) => {
  const [line] = listErrors(8, '  "operatorKeySha256": ["my-secret"],');
  t2.match(line, /operatorKeySha256\[0\]: expected a SHA-256 digest/);
  t2.notMatch(line, /my-secret/);
});

t.test('an empty or missing key file is reported as an error', async (t2) => {
  const directory = await mkdtemp(join(tmpdir(), 'settings-'));
  const file = join(directory, 'entry.jsonc');
  await writeFile(file, LINES.join('\n'));
  await writeFile(join(directory, 'cluster.key'), ' \n');
  const result = await loadProcessSettings(file);
  t2.match(result.isErr() && result.error, [
    { key: 'clusterKeyFile', line: 5 },
    { key: 'serviceTokenFile', line: 5 },
  ]);
  await writeFile(join(directory, 'cluster.key'), 'a\n');
  await writeFile(join(directory, 'service.token'), 'b\n');
  t2.match((await loadProcessSettings(file)).unwrapOr(null), {
    clusterKey: 'a',
    serviceToken: 'b',
  });
});
