import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { type AddressInfo, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { getStandinFile, startProcess } from '@lovagearch/standins';
import t, { type Test } from 'tap';

const ENTRY_FILE = fileURLToPath(new URL('../bin/lovagearch-entry.js', import.meta.url));
const HOST = '127.0.0.1';

const listen = async () => {
  const server = createServer();
  server.listen(0, HOST);
  await once(server, 'listening');
  return { server, port: (server.address() as AddressInfo).port };
};

/** Asks the system for ports that are free now; all are held until the last is known. */
const findFreePorts = async () => {
  const [caller, admin, peer] = [await listen(), await listen(), await listen()];
  for (const { server } of [caller, admin, peer]) {
    server.close();
    await once(server, 'close');
  }
  return { callerPort: caller.port, adminPort: admin.port, peerPort: peer.port };
};

/** Writes settings with ports that stay the same at each start; returns the file and the ports. */
const createEntry = async (test: Test) => {
  const directory = await mkdtemp(join(tmpdir(), 'entry-'));
  test.teardown(async () => rm(directory, { recursive: true, force: true }));
  const platform = await startProcess(getStandinFile('platform'));
  test.teardown(() => platform.kill('SIGKILL'));
  const ports = await findFreePorts();
  const url = platform.url();
  const settings = {
    region: 'south',
    zone: 'tainan',
    nodeName: 'entry-1',
    listen: { host: HOST, ...ports },
    platform: { tableUrl: url, objectUrl: url, vmListUrl: url },
    clusterKeyFile: 'cluster.key',
    serviceTokenFile: 'service.token',
  };
  for (const name of ['cluster.key', 'service.token']) await writeFile(join(directory, name), name);
  const file = join(directory, 'entry.jsonc');
  await writeFile(file, JSON.stringify(settings));
  return { file, ports };
};

const readUntil = async (stream: Readable, text: string): Promise<string | undefined> => {
  for await (const line of createInterface({ input: stream })) if (line.includes(text)) return line;
  return undefined;
};

const startNode = (test: Test, file: string) => {
  const child = spawn(process.execPath, [ENTRY_FILE, '--settings', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  test.teardown(() => child.kill('SIGKILL'));
  return child;
};

const DRAINING = 'draining';
/** Time between two signals, without which they may arrive as one, in milliseconds. */
const SIGNAL_GAP_MS = 100;
const WAITING = 'Waiting for the peer address';

// Guards against a restarted node that ends because its predecessor still drains.
t.test('a node starts beside a predecessor that drains', async (t2) => {
  const { file, ports } = await createEntry(t2);
  const predecessor = startNode(t2, file);
  const predecessorExited = once(predecessor, 'exit');
  await readUntil(predecessor.stdout, 'listening');
  predecessor.kill('SIGTERM');
  // A stopped predecessor holds its addresses until the next process has tried them.
  predecessor.kill('SIGSTOP');
  const node = startNode(t2, file);
  t2.match(await readUntil(node.stderr, WAITING), String(ports.peerPort));
  predecessor.kill('SIGCONT');
  const listening = await readUntil(node.stdout, 'listening');
  t2.match(listening, `"caller":${ports.callerPort},"admin":${ports.adminPort}`);
  t2.strictSame(await predecessorExited, [0, null]);
});

// Guards against a node that fails when it is ended during its wait for an address.
t.test('SIGTERM ends a node that waits for an address with code 0', async (t2) => {
  const { file, ports } = await createEntry(t2);
  const holder = createServer().listen(ports.peerPort, HOST);
  await once(holder, 'listening');
  t2.teardown(() => {
    holder.close();
  });
  const node = startNode(t2, file);
  const exited = once(node, 'exit');
  await readUntil(node.stderr, WAITING);
  node.kill('SIGTERM');
  t2.strictSame(await exited, [0, null]);
});

// Guards against a further signal whose default action ends a draining node, with the requests that it waits for.
t.test('signals during a drain do not end the node', async (t2) => {
  const { file } = await createEntry(t2);
  const node = startNode(t2, file);
  const exited = once(node, 'exit');
  await readUntil(node.stdout, 'listening');
  node.kill('SIGTERM');
  await readUntil(node.stderr, DRAINING);
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGINT'] as const) {
    node.kill(signal);
    await wait(SIGNAL_GAP_MS);
  }
  t2.strictSame(await exited, [0, null]);
});
