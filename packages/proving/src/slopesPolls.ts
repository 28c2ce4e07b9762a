import { HttpEngineClient } from '@lovagearch/engine-client';
import { computeCpuMs, getMedian } from './slopesMeasure.js';
import { CountingServer } from './slopesServer.js';

const RUNS = 5;

const BOOT = 'boot-0a1b2c3d';
const NO_EVENTS = { boot: BOOT, events: [], nextSeq: 123_456 };

const createStatus = (endpointId: string) => ({
  endpointId,
  boot: BOOT,
  state: 'ready',
  role: 'both',
  models: [{ model: 'crop-8b', weightVersion: 'v3', adapters: [] }],
  loading: [],
  load: { queuedPromptTokens: 12_345, activeSequences: 12, cacheUse: 0.734, ageMs: 0 },
  fencing: 17,
  checksFencing: true,
});

/** Answers the regular calls of a watcher as a quiet runner does. */
export const createStatusBody = (path: string, endpointId: string): string =>
  JSON.stringify(path === '/v1/status' ? createStatus(endpointId) : NO_EVENTS);

/** What one regular call to a runner costs. */
export interface PollCost {
  readonly call: 'cache events' | 'status';
  /** Bytes of HTTP in both directions. */
  readonly bytes: number;
  /** Processor time, the answering side included, in milliseconds. */
  readonly cpuMs: number;
}

/** Measures the calls that a watcher makes to each of its runners, on kept connections. */
export const computePollCosts = async (polls: number): Promise<readonly PollCost[]> => {
  const server = await CountingServer.start((path) => createStatusBody(path, 'runner-1234'));
  const engines = HttpEngineClient.create();
  const address = { url: server.url, serviceToken: 'service-token-of-32-characters-00' };
  const measure = async (
    call: PollCost['call'],
    send: () => Promise<boolean>,
  ): Promise<PollCost> => {
    const cpu: number[] = [];
    const bytesBefore = server.bytes;
    for (let run = 0; run < RUNS; run++) {
      const cpuMs = await computeCpuMs(async () => {
        for (let poll = 0; poll < polls; poll++) {
          if (!(await send())) throw new TypeError(`${call} failed`);
        }
      });
      cpu.push(cpuMs / polls);
    }
    const bytes = (server.bytes - bytesBefore) / (RUNS * polls);
    return { call, bytes, cpuMs: getMedian(cpu) };
  };
  const costs = [
    await measure('status', async () => (await engines.readStatus(address)).isOk()),
    await measure('cache events', async () =>
      (await engines.readCacheEvents(address, { boot: BOOT, seq: 123_456 })).isOk(),
    ),
  ];
  await engines.close();
  await server.stop();
  return costs;
};
