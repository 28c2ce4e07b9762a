import { once } from 'node:events';
import { parseArgs } from 'node:util';
import { Cluster } from './cluster.js';
import {
  createAccountFile,
  createModelFile,
  createModelServiceFile,
  createPlainServiceFile,
  getAccountKey,
} from './deployments.js';

const DEFAULT_PORT = '8080';
const KEEP_ALIVE_INTERVAL_MS = 60_000;
const MODEL = 'crop-8b';
const PLACES = [
  { region: 'south', zone: 'chiayi' },
  { region: 'south', zone: 'tainan' },
  { region: 'north', zone: 'taoyuan' },
] as const;

const { values } = parseArgs({ options: { port: { type: 'string', default: DEFAULT_PORT } } });

/** Starts entry processes on consecutive caller and administration ports. */
const startEntries = async (cluster: Cluster, firstPort: number): Promise<void> => {
  for (const [index, place] of PLACES.entries()) {
    const listen = {
      host: '127.0.0.1',
      callerPort: firstPort + index,
      adminPort: firstPort + 1_000 + index,
      peerPort: 0,
    };
    await cluster.startEntry(`entry-${index + 1}`, place, { listen });
  }
};

const startEndpoints = async (cluster: Cluster): Promise<void> => {
  const models = [{ model: MODEL, weightVersion: 'v1', adapters: [] }];
  for (const [index, place] of PLACES.entries()) {
    await cluster.startEngine(`runner-${index + 1}`, place, 'estimator', { models });
    await cluster.startService(`ledger-${index + 1}`, place, 'ledger');
  }
  await cluster.startStore('store-south', PLACES[0]);
  await cluster.startStore('store-north', PLACES[2]);
};

const publishConfiguration = async (cluster: Cluster): Promise<void> => {
  const result = await cluster.publish([
    createModelServiceFile('estimator'),
    createPlainServiceFile('ledger', ['/claims']),
    createModelFile(MODEL, 'estimator'),
    createAccountFile('jianan-01', ['estimator', 'ledger']),
    createAccountFile('jianan-02', ['estimator']),
  ]);
  if (result.exitCode !== 0) process.stderr.write(result.stderr);
  await cluster.waitReady();
};

const runLocalCluster = async (): Promise<void> => {
  const firstPort = Number(values.port);
  const cluster = await Cluster.start();
  await startEndpoints(cluster);
  await startEntries(cluster, firstPort);
  await publishConfiguration(cluster);
  const lines = [
    `Callers:        http://127.0.0.1:${firstPort} to ${firstPort + PLACES.length - 1}`,
    `Administration: http://127.0.0.1:${firstPort + 1_000}, key ${cluster.operatorKey}`,
    `Accounts:       jianan-01, key ${getAccountKey('jianan-01')} (model ${MODEL}, service ledger)`,
    `                jianan-02, key ${getAccountKey('jianan-02')} (model ${MODEL})`,
    `Settings:       ${cluster.folder}/operator.jsonc`,
    'Ctrl-C ends it.',
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
  // Child processes alone do not keep this process alive.
  const keepAlive = setInterval(() => undefined, KEEP_ALIVE_INTERVAL_MS);
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
  clearInterval(keepAlive);
  await cluster.stop();
};

await runLocalCluster();
