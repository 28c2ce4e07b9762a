import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { fileURLToPath } from 'node:url';
import { computeSha256Hex } from '@lovagearch/common';
import { getStandinFile, sendControl, startProcess } from '@lovagearch/standins';
import t from 'tap';

const CLI_FILE = fileURLToPath(new URL('../bin/lovagearch.js', import.meta.url));
const OPERATOR_KEY = 'operator-secret';

const runCli = async (args: readonly string[], input = '') => {
  const env = { ...process.env, LOVAGEARCH_OPERATOR_KEY: OPERATOR_KEY };
  const child = spawn(process.execPath, [CLI_FILE, ...args], { env });
  child.stdin.end(input);
  const [stdout, stderr] = await Promise.all([text(child.stdout), text(child.stderr)]);
  if (child.exitCode === null) await once(child, 'exit');
  return { code: child.exitCode, stdout, stderr };
};

const writeEntry = async (directory: string, name: string, entry: object): Promise<void> =>
  writeFile(join(directory, `${name}.lovagearch.jsonc`), JSON.stringify(entry));

const writeSettings = async (directory: string, url: string): Promise<string> => {
  const settings = {
    region: 'south',
    zone: 'tainan',
    listen: { host: '127.0.0.1', callerPort: 0, adminPort: 0, peerPort: 0 },
    platform: { tableUrl: url, objectUrl: url, vmListUrl: url },
    clusterKeyFile: 'cluster.key',
    serviceTokenFile: 'service.token',
  };
  const file = join(directory, 'entry.jsonc');
  await writeFile(file, JSON.stringify(settings));
  return file;
};

t.test('hash-key hashes the trailing newline, or accepts an empty key', async (t2) => {
  const hashed = await runCli(['hash-key'], 'abc\n');
  t2.equal(hashed.stdout.trim(), computeSha256Hex('abc'));
  t2.equal((await runCli(['hash-key'], '\n')).code, 2);
});

t.test('publish reports success without taking effect, or exits with a wrong code', async (t2) => {
  const directory = await mkdtemp(join(tmpdir(), 'cli-'));
  const platform = await startProcess(getStandinFile('platform'));
  const settings = ['--settings', await writeSettings(directory, platform.url())];
  const ledger = { kind: 'service', name: 'ledger', type: 'plain' };
  const model = { kind: 'model', name: 'm', service: 'ledger', weightVersion: 'v1' };
  t2.equal((await runCli(['publish', directory, ...settings])).code, 2, 'no files');
  await writeEntry(directory, 'model', model);
  const checked = await runCli(['check', directory]);
  t2.match(checked, { code: 2, stderr: /service "ledger" doesn't exist/ });
  await rm(join(directory, 'model.lovagearch.jsonc'));
  await writeEntry(directory, 'ledger', ledger);
  await writeEntry(directory, 'other', { ...ledger, name: 'other' });
  const first = await runCli(['publish', directory, ...settings, '--json']);
  t2.match(JSON.parse(first.stdout), { revision: 1, changed: ['service/ledger', 'service/other'] });
  const again = await runCli(['publish', directory, ...settings, '--json']);
  t2.match(JSON.parse(again.stdout), { revision: 1, changed: [] });
  await rm(join(directory, 'other.lovagearch.jsonc'));
  const foreign = await runCli(['publish', directory, ...settings, '--name', 'x', '--json']);
  t2.match(
    JSON.parse(foreign.stdout),
    { revision: 1, deleted: [] },
    'a different publisher name deletes nothing',
  );
  const third = await runCli(['publish', directory, ...settings, '--json']);
  t2.match(JSON.parse(third.stdout), { revision: 2, deleted: ['service/other'] });
  platform.kill('SIGKILL');
  await platform.waitForExit();
  t2.equal((await runCli(['publish', directory, ...settings])).code, 4, 'platform down');
});

t.test(
  'publish --wait returns before every node has the revision, or prints the operator key',
  async (t2) => {
    const directory = await mkdtemp(join(tmpdir(), 'cli-'));
    const platform = await startProcess(getStandinFile('platform'));
    const keys: (string | undefined)[] = [];
    let answers = 0;
    const admin = createServer((request, response) => {
      keys.push(request.headers.authorization);
      // The node reports the new revision from its third response on.
      response.end(JSON.stringify({ revision: answers++ < 2 ? 0 : 1 }));
    });
    admin.listen(0, '127.0.0.1');
    await once(admin, 'listening');
    const ports = { admin: (admin.address() as AddressInfo).port };
    const place = { host: '127.0.0.1', zone: 'tainan', region: 'south', state: 'live' };
    const vms = [{ id: 'e1', role: 'entry', service: null, ports, ...place }];
    await sendControl(platform, 'PUT', '/control/vms', { vms });
    await writeEntry(directory, 'ledger', { kind: 'service', name: 'ledger', type: 'plain' });
    const settings = ['--settings', await writeSettings(directory, platform.url())];
    const published = await runCli(['publish', directory, ...settings, '--wait', '60']);
    t2.match(published, { code: 0, stdout: /in force on every node/ });
    t2.equal(answers, 3);
    const shown = await runCli(['show', ...settings]);
    t2.match(shown, { code: 0, stdout: /head: revision 1 by/ });
    t2.notMatch(published.stdout + published.stderr + shown.stdout + shown.stderr, OPERATOR_KEY);
    answers = -1_000;
    await writeEntry(directory, 'other', { kind: 'service', name: 'other', type: 'plain' });
    const late = await runCli(['publish', directory, ...settings, '--wait', '0']);
    t2.match(late, { code: 1, stderr: /not reported by: e1/ });
    t2.ok(keys.every((key) => key === `Bearer ${OPERATOR_KEY}`));
    admin.close();
    platform.kill('SIGKILL');
  },
);
