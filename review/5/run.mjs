// A runner leaves while the two machines that read the store for the others are killed and start again.
import { setTimeout as wait } from 'node:timers/promises';
import { runCase } from '../lib/case.mjs';
import { createChannel, createRequestId, sendRequest } from '../lib/client.mjs';
import { createConfiguration, createRoute, HOST, KEY } from '../lib/configuration.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { isTroubled } from '../lib/record.mjs';
import { Runner } from '../lib/runner.mjs';

/** Above 16 machines, two of each region read the store for the others. */
const GATEWAYS = 18;
/** Bounds of the grown site. */
const DRAIN_MS = 4000;
const BOUNDS = {
  contact_ms: 4000,
  ack_ms: 6000,
  catch_up_s: 6,
  drain_ms: DRAIN_MS,
  config_apply_ms: 4000,
  outer_ms: 6000,
  retry_slack: 206,
  recovery_s: 15,
  transit_ms: 250,
  version_ms: 12_000,
  version_all_ms: 17_000,
};
const STEADY_MS = 8000;
const REMOVAL_DELAY_MS = 50;
const RESTART_DELAY_MS = 150;
const JUDGED_MS = 6000;
const CLIENTS_PER_GATEWAY = 2;
const PAUSE_MS = 80;

const HTTP_OK = 200;

const sent = new Map();
let isEnding = false;

const runClient = async (gateway, record) => {
  const agent = createChannel();
  while (!isEnding) {
    const id = createRequestId();
    sent.set(id, { gateway, sentAtMs: performance.now(), runners: [] });
    const answer = await sendRequest(gateway, {
      agent,
      record,
      id,
      path: `/ledger-view/${id}`,
      host: HOST,
      key: KEY,
      timeLimitMs: 1200,
    });
    sent.get(id).status = answer.status;
    record.add(`${id} at ${gateway.name} is answered ${answer.status ?? answer.error}`);
    await wait(PAUSE_MS);
  }
  agent.destroy();
};

/** Whether a machine copies the tables from another one. */
const isFollower = (gateway) =>
  Deployment.listEvents(gateway, 'table_role_changed').at(-1)?.role === 'follower';

await runCase(import.meta.url, async (record, keep) => {
  const routes = [createRoute('ledger-view', 'idempotent', 'ledger')];
  const deployment = keep(await Deployment.create(createConfiguration(1, routes)));
  const { store } = deployment;
  const startRunner = async (id) => {
    const onArrival = (_runner, request) => {
      sent.get(request).runners.push(id);
    };
    const options = {
      id,
      service: 'ledger',
      zone: 'chiayi',
      slots: 2,
      queue: 2,
      workMs: 40,
      store,
      record,
    };
    return deployment.add(await Runner.start({ ...options, onArrival }));
  };
  const leaving = await startRunner('i-leaving');
  for (const id of ['i-staying-1', 'i-staying-2', 'i-staying-3']) await startRunner(id);
  await deployment.startGateways(GATEWAYS, BOUNDS);
  await wait(STEADY_MS);
  const followers = deployment.gateways.filter(isFollower);
  const readers = deployment.gateways.filter((gateway) => !followers.includes(gateway));
  record.add(`${readers.map(({ name }) => name).join(', ')} read the store for the others`);
  const clients = followers.flatMap((gateway) =>
    Array.from({ length: CLIENTS_PER_GATEWAY }, () => runClient(gateway, record)),
  );
  await wait(1000);

  if (isTroubled) {
    await Promise.all(readers.map((gateway) => gateway.end('SIGKILL')));
    record.add(`${readers.map(({ name }) => name).join(', ')} are killed`);
  }
  await wait(REMOVAL_DELAY_MS);
  leaving.leave();
  const removedAtMs = performance.now();
  record.add('the entry of i-leaving is removed; the runner serves on');
  await wait(RESTART_DELAY_MS);
  if (isTroubled) {
    await Promise.all(readers.map((gateway) => gateway.start()));
    await Promise.all(readers.map((gateway) => gateway.waitUntilReady()));
    record.add(`${readers.map(({ name }) => name).join(', ')} are ready again`);
  }
  await wait(removedAtMs + DRAIN_MS - performance.now());
  await wait(JUDGED_MS);
  isEnding = true;
  await Promise.all(clients);

  const judged = [...sent.values()].filter(({ sentAtMs }) => sentAtMs > removedAtMs + DRAIN_MS);
  const late = judged.filter(({ runners }) => runners.includes('i-leaving'));
  const machines = new Set(late.map(({ gateway }) => gateway.name));
  record.add(
    `${judged.length} requests were sent to the ${followers.length} other machines later than ${DRAIN_MS} ms after ` +
      `the removal, ${late.length} of them reached i-leaving, from ${machines.size} machines`,
  );
  const served = judged.filter(({ status }) => status === HTTP_OK);
  if (served.length === 0 || readers.length !== 2) return undefined;
  return late.length > 0;
});
