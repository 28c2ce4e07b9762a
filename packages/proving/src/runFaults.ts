import { chooseItem, type Random } from '@lovagearch/common';
import { setTimeout as waitMs } from 'node:timers/promises';
import type { ClusterVm } from './cluster.js';
import {
  findShardOwner,
  readRuns,
  RUN_PLACES,
  waitBusy,
  waitIdle,
  type RunFault,
  type RunProof,
} from './runProof.js';

/** Longer than the 5 s for which a grant may be used. */
const FREEZE_MS = 6_500;
const TABLE_FAULT_MS = 4_000;
const TABLE_DOWN_MS = 7_000;
const SLOW_TABLE_MS = 700;
const SERVICE_FAULT_MS = 3_000;
const SLOW_SERVICE_MS = 1_500;
const SPREAD_MS = 1_000;

/** Waits up to a time that the seed decides, so that each seed hits another moment. */
const waitRandom = async (random: Random, maxMs = SPREAD_MS): Promise<void> =>
  waitMs(random() * maxMs);

const chooseEntry = ({ cluster, random }: RunProof): ClusterVm => {
  const entry = chooseItem(cluster.listEntries(), random);
  if (entry === undefined) throw new RangeError('no entry process');
  return entry;
};

const chooseService = ({ cluster, random }: RunProof): ClusterVm => {
  const services = [...cluster.vms.values()].filter(({ role }) => role === 'service');
  const service = chooseItem(services, random);
  if (service === undefined) throw new RangeError('no service instance');
  return service;
};

const listServiceIds = ({ cluster }: RunProof): string[] =>
  [...cluster.vms.values()].filter(({ role }) => role === 'service').map(({ id }) => id);

/** Sets a fault of the table for a time; reads may be left as they are. */
const createTableFault = (name: string, faults: object, durationMs: number): RunFault => ({
  name,
  run: async ({ cluster, random }) => {
    await waitRandom(random);
    await cluster.setFaults('platform', faults);
    await waitMs(durationMs);
    await cluster.setFaults('platform', {});
  },
});

/** Sets a fault of all service instances for a time. */
const createServiceFault = (name: string, faults: object): RunFault => ({
  name,
  run: async (proof) => {
    await waitRandom(proof.random);
    for (const id of listServiceIds(proof)) await proof.cluster.setFaults(id, faults);
    await waitMs(SERVICE_FAULT_MS);
    for (const id of listServiceIds(proof)) {
      await proof.cluster.setFaults(id, { mode: 'slow', delayMs: 50 });
    }
  },
});

export const tableErrorAfterEffect = createTableFault(
  'the table answers an error after the effect',
  { table: 'error_after_effect', writesOnly: true },
  TABLE_FAULT_MS,
);

export const tableLostAnswers = createTableFault(
  'the table loses answers of reads and writes',
  { table: 'lost_answers' },
  TABLE_FAULT_MS,
);

export const slowTable = createTableFault(
  'the table is slow',
  { table: 'slow', delayMs: SLOW_TABLE_MS },
  FREEZE_MS,
);

export const tableOutage: RunFault = {
  name: 'the table is down, then slow, then well',
  run: async ({ cluster }) => {
    await cluster.setFaults('platform', { table: 'down' });
    await waitMs(TABLE_DOWN_MS);
    await cluster.setFaults('platform', { table: 'slow', delayMs: SLOW_TABLE_MS });
    await waitMs(TABLE_FAULT_MS / 2);
    await cluster.setFaults('platform', {});
  },
};

export const dropAfterRun = createServiceFault('the service closes after the run', {
  mode: 'slow',
  delayMs: 50,
  dropAfterRun: true,
});

/** Kills the owner of most shards; another entry process starts in its place. */
export const ownerKilled: RunFault = {
  name: 'the owner of the shard is killed',
  run: async (proof) => {
    const { cluster, random } = proof;
    await waitRandom(random);
    const owner = await findShardOwner(proof);
    owner.process.kill('SIGKILL');
    await waitRandom(random, 2 * SPREAD_MS);
    await cluster.updateVm(owner.id, 'gone');
    // The same node name, as after a restart of the VM.
    await cluster.startEntry(owner.id, RUN_PLACES[0]);
    await cluster.waitReady();
  },
};

/** Freezes a holder of grants for longer than a grant and continues it. */
export const holderFrozen: RunFault = {
  name: 'the holder of the grant is frozen for 6.5 s',
  run: async (proof) => {
    await waitRandom(proof.random);
    const entry = chooseEntry(proof);
    entry.process.kill('SIGSTOP');
    await waitMs(FREEZE_MS);
    entry.process.kill('SIGCONT');
    await proof.cluster.waitReady();
  },
};

/** Kills a service instance; what it ran is read after its last connection broke. */
export const serviceKilled: RunFault = {
  name: 'the service instance is killed',
  run: async (proof) => {
    const { cluster, random, savedRuns } = proof;
    await waitRandom(random);
    const instance = chooseService(proof);
    // The kill must meet calls under way.
    await cluster.setFaults(instance.id, { mode: 'slow', delayMs: SLOW_SERVICE_MS });
    await waitBusy(instance);
    cluster.proxies.get(instance.id)?.setMode('refuse');
    await waitIdle(instance);
    savedRuns.push(...(await readRuns(instance)));
    instance.process.kill('SIGKILL');
    await waitRandom(random, 2 * SPREAD_MS);
    await cluster.updateVm(instance.id, 'gone');
    await cluster.startService('ledger-9', RUN_PLACES[1], 'ledger');
  },
};

/** Connections to the service go silent for good while calls run; new ones work. */
export const connectionSilent: RunFault = {
  name: 'connections to the service go silent after the call was sent',
  run: async (proof) => {
    const { cluster } = proof;
    const ids = listServiceIds(proof);
    for (const id of ids) await cluster.setFaults(id, { mode: 'slow', delayMs: SLOW_SERVICE_MS });
    await waitMs(SLOW_SERVICE_MS / 2);
    for (const id of ids) cluster.proxies.get(id)?.setMode('silent_existing');
    for (const id of ids) cluster.proxies.get(id)?.setMode('pass');
    for (const id of ids) await cluster.setFaults(id, { mode: 'slow', delayMs: 50 });
    await waitMs(SERVICE_FAULT_MS);
  },
};

/** Replaces all entry processes, one after another, by drained or killed predecessors. */
export const entriesReplaced: RunFault = {
  name: 'all entry processes are replaced',
  run: async ({ cluster, hidden, random }) => {
    for (const [index, entry] of cluster.listEntries().entries()) {
      await cluster.startEntry(`entry-${index + 11}`, RUN_PLACES[index] ?? RUN_PLACES[0]);
      await cluster.waitReady();
      const isDrained = random() < 0.5;
      if (isDrained) hidden.add(entry.id);
      entry.process.kill(isDrained ? 'SIGTERM' : 'SIGKILL');
      if (isDrained) await entry.process.waitForExit();
      await cluster.updateVm(entry.id, 'gone');
    }
  },
};
