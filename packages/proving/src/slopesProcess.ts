import { readFile } from 'node:fs/promises';
import { setTimeout as waitMs } from 'node:timers/promises';
import type { StartedProcess } from '@lovagearch/standins';
import { Cluster, type ClusterVm } from './cluster.js';
import { getMedian } from './slopesMeasure.js';
import { createStatusBody } from './slopesPolls.js';
import { CountingServer } from './slopesServer.js';

const PLACE = { region: 'south', zone: 'chiayi' };
const FAR_PLACE = { region: 'north', zone: 'taoyuan' };
/** Time after the start in which connections are opened and code is compiled. */
const SETTLE_MS = 8_000;
/** Clock ticks of /proc/PID/stat in a second. */
const TICKS_PER_SECOND = 100;
const KIB = 1_024;
const MS_PER_SECOND = 1_000;

export interface ProcessSize {
  readonly nodes: number;
  /** Runners of the nodes' own region, each polled by two of the nodes. */
  readonly runners: number;
  /** Runners of another region, which are in the VM list only. */
  readonly farRunners: number;
}

/** What an idle entry process takes. */
export interface ProcessCost extends ProcessSize {
  /** Median over the nodes of processor time for each second. */
  readonly cpuMsPerSecond: number;
  readonly residentBytes: number;
  /** Bytes of HTTP between the nodes and one runner, both directions, for each second of a node. */
  readonly pollBytesPerSecond: number;
  /** Bytes sent to other nodes for each second of a node. */
  readonly peerBytesPerSecond: number;
}

interface Sample {
  readonly cpuMs: number;
  readonly sentBytes: number;
}

const readCpuMs = async (pid: number): Promise<number> => {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8');
  // The second field is the program's name in parentheses; user and system time are 14 and 15.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks / TICKS_PER_SECOND) * MS_PER_SECOND;
};

const readResidentBytes = async (pid: number): Promise<number> => {
  const text = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1]) * KIB;
};

const readSentBytes = async (cluster: Cluster, entry: ClusterVm): Promise<number> => {
  const node = (await cluster.readAdmin(entry, '/v1/node')) as {
    traffic: { sentBytes: number }[];
  };
  return node.traffic.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
};

const readSamples = async (cluster: Cluster): Promise<Sample[]> =>
  Promise.all(
    cluster.listEntries().map(async (entry) => ({
      sentBytes: await readSentBytes(cluster, entry),
      cpuMs: await readCpuMs(entry.process.pid),
    })),
  );

const createProcess = (id: string, port: number): StartedProcess => ({
  id,
  pid: 0,
  ports: { main: port },
  url: () => `http://127.0.0.1:${port}`,
  kill: () => undefined,
  waitForExit: async () => ({ code: 0, signal: null }),
});

const addRunner = (cluster: Cluster, id: string, port: number, isFar: boolean): void => {
  const vm = { id, role: 'runner', service: 'estimator', host: '127.0.0.1' } as const;
  const started = createProcess(id, port);
  const place = isFar ? FAR_PLACE : PLACE;
  cluster.vms.set(id, { ...vm, ...place, ports: started.ports, state: 'live', process: started });
};

const startRunners = async (cluster: Cluster, size: ProcessSize): Promise<CountingServer[]> => {
  const servers: CountingServer[] = [];
  for (let index = 0; index < size.runners; index++) {
    const id = `runner-${index}`;
    const server = await CountingServer.start((path) => createStatusBody(path, id));
    servers.push(server);
    addRunner(cluster, id, server.port, false);
  }
  for (let index = 0; index < size.farRunners; index++) {
    addRunner(cluster, `far-runner-${index}`, 1, true);
  }
  return servers;
};

/** Measures idle entry processes of a size, as medians over the processes. */
export const computeProcessCost = async (
  size: ProcessSize,
  durationMs: number,
): Promise<ProcessCost> => {
  const cluster = await Cluster.start();
  const servers = await startRunners(cluster, size);
  for (let index = 0; index < size.nodes; index++) await cluster.startEntry(`node-${index}`, PLACE);
  await waitMs(SETTLE_MS);
  const countPollBytes = (): number => servers.reduce((sum, { bytes }) => sum + bytes, 0);
  const [before, pollBytesBefore] = [await readSamples(cluster), countPollBytes()];
  await waitMs(durationMs);
  const [after, pollBytes] = [await readSamples(cluster), countPollBytes() - pollBytesBefore];
  const pids = cluster.listEntries().map((entry) => entry.process.pid);
  const resident = await Promise.all(pids.map(readResidentBytes));
  await cluster.stop();
  for (const server of servers) await server.stop();
  const seconds = durationMs / MS_PER_SECOND;
  const getRate = (get: (sample: Sample) => number): number =>
    getMedian(
      after.map((sample, index) => {
        const earlier = before[index];
        return earlier === undefined ? Number.NaN : (get(sample) - get(earlier)) / seconds;
      }),
    );
  return {
    ...size,
    cpuMsPerSecond: getRate(({ cpuMs }) => cpuMs),
    residentBytes: getMedian(resident),
    pollBytesPerSecond: pollBytes / seconds / size.nodes,
    peerBytesPerSecond: getRate(({ sentBytes }) => sentBytes),
  };
};
