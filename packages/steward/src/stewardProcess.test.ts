import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as waitMs } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createId } from '@lovagearch/common';
import { entrySchema, getEntryKey, publishConfiguration } from '@lovagearch/configuration';
import { HttpEngineClient } from '@lovagearch/engine-client';
import { HttpObjectClient, HttpTableClient } from '@lovagearch/platform-client';
import { getStandinFile, getValue, sendControl, startProcess } from '@lovagearch/standins';
import t from 'tap';

const STEWARD_FILE = fileURLToPath(new URL('../bin/lovagearch-steward.js', import.meta.url));
const POLL_MS = 50;

const writeSettings = async (url: string): Promise<string> => {
  const directory = await mkdtemp(join(tmpdir(), 'steward-'));
  const settings = {
    region: 'south',
    zone: 'tainan',
    listen: { host: '127.0.0.1', callerPort: 0, adminPort: 0, peerPort: 0 },
    platform: { tableUrl: url, objectUrl: url, vmListUrl: url },
    clusterKeyFile: 'cluster.key',
    serviceTokenFile: 'service.token',
  };
  for (const name of ['cluster.key', 'service.token']) await writeFile(join(directory, name), name);
  await writeFile(join(directory, 'steward.jsonc'), JSON.stringify(settings));
  return join(directory, 'steward.jsonc');
};

t.test(
  'stewards leave runners on an outdated version, or a stopped lease holder blocks takeover',
  async (t2) => {
    const platform = await startProcess(getStandinFile('platform'));
    const engines = await Promise.all(
      ['r1', 'r2', 'r3'].map((id) =>
        startProcess(getStandinFile('engine'), { id, models: [], loadWeightsMs: 50 }),
      ),
    );
    const vms = engines.map(({ id, ports }) => ({
      id,
      ports,
      role: 'runner',
      service: 'estimator',
      host: '127.0.0.1',
      zone: 'tainan',
      region: 'south',
      state: 'live',
    }));
    await sendControl(platform, 'PUT', '/control/vms', { vms });
    const table = HttpTableClient.create({ url: platform.url() });
    const objects = HttpObjectClient.create({ url: platform.url() });
    const client = HttpEngineClient.create();
    const publish = async (weightVersion: string) => {
      const values = [
        { kind: 'service', name: 'estimator', type: 'model', maxConcurrentLoads: 2 },
        { kind: 'model', name: 'crop-8b', service: 'estimator', weightVersion },
      ].map((value) => entrySchema.parse(value));
      const entries = new Map(values.map((value) => [getEntryKey(value), value]));
      const createAttemptId = () => createId('publish');
      const waitBeforeRetry = async () => Promise.resolve();
      const options = {
        table,
        objects,
        entries,
        publisher: 'test',
        createAttemptId,
        waitBeforeRetry,
      };
      getValue(await publishConfiguration(options));
    };
    const waitForVersion = async (version: string) => {
      for (const { url } of engines) {
        const address = { url: url(), serviceToken: 'service.token' };
        for (;;) {
          const status = getValue(await client.readStatus(address));
          if (status.loading.length === 0 && status.models[0]?.weightVersion === version) break;
          await waitMs(POLL_MS);
        }
      }
    };
    await publish('v1');
    const settings = ['--settings', await writeSettings(platform.url())];
    const first = await startProcess(STEWARD_FILE, settings);
    await waitForVersion('v1');
    t2.pass('idle runners loaded the model');
    const second = await startProcess(STEWARD_FILE, settings);
    first.kill();
    t2.same(await first.waitForExit(), { code: 0, signal: null });
    await publish('v2');
    await waitForVersion('v2');
    const row = getValue(await table.read('lease/estimator/south'));
    t2.match(
      row?.value,
      { fencing: 2 },
      'the second lease holder incremented the fencing token once',
    );
    second.kill();
    t2.same(await second.waitForExit(), { code: 0, signal: null });
    for (const child of [...engines, platform]) child.kill('SIGKILL');
    await Promise.all([table.close(), objects.close(), client.close()]);
  },
);
