// A runner leaves while one machine is cut off from the store and the other one is stopped and started as planned.
import { setTimeout as wait } from 'node:timers/promises';
import { runCase } from '../lib/case.mjs';
import { createChannel, createRequestId, sendRequest } from '../lib/client.mjs';
import { createConfiguration, createRoute, HOST, KEY } from '../lib/configuration.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { isTroubled } from '../lib/record.mjs';
import { Runner } from '../lib/runner.mjs';

const DRAIN_MS = 2500;
const CONTACT_MS = 3000;
const CUT_MS = 5500;
/** Time from the SIGTERM to the cut; an idle gateway ends a little later. */
const CUT_AFTER_SIGNAL_MS = 2900;
const RESTART_DELAY_MS = 200;
const JUDGED_MS = 6000;
const CLIENTS_PER_GATEWAY = 3;
const PAUSE_MS = 100;

const sent = new Map();
let isEnding = false;

const runClient = async (gateway, record) => {
  const agent = createChannel();
  while (!isEnding) {
    const id = createRequestId();
    sent.set(id, { gateway, sentAtMs: performance.now(), runners: [] });
    const answer = await sendRequest(gateway, {
      agent,
      id,
      path: `/ledger-view/${id}`,
      host: HOST,
      key: KEY,
      timeLimitMs: 1200,
    });
    record.add(`${id} at ${gateway.name} is answered ${answer.status ?? answer.error}`);
    await wait(PAUSE_MS);
  }
  agent.destroy();
};

await runCase(import.meta.url, async (record, keep) => {
  const routes = [createRoute('ledger-view', 'idempotent', 'ledger')];
  const deployment = keep(await Deployment.create(createConfiguration(1, routes)));
  const { store } = deployment;
  const startRunner = async (id) => {
    const onArrival = (_runner, request) => {
      record.add(`${request} reaches ${id}`);
      sent.get(request).runners.push(id);
    };
    const options = { id, service: 'ledger', zone: 'chiayi', slots: 6, workMs: 20, store };
    return deployment.add(await Runner.start({ ...options, onArrival }));
  };
  const leaving = await startRunner('i-leaving');
  await startRunner('i-staying');
  await deployment.startGateways(2);
  const [cutOff, restarted] = deployment.gateways;
  const [link] = deployment.links;
  const clients = deployment.gateways.flatMap((gateway) =>
    Array.from({ length: CLIENTS_PER_GATEWAY }, () => runClient(gateway, record)),
  );
  await wait(3000);

  record.add(`SIGTERM to ${restarted.name}`);
  const ended = restarted.end('SIGTERM');
  await wait(CUT_AFTER_SIGNAL_MS);
  const cutAtMs = performance.now();
  if (isTroubled) {
    link.cut();
    record.add(`the link from ${cutOff.name} to the store is cut`);
  }
  await ended;
  record.add(`${restarted.name} has ended`);
  leaving.leave();
  const removedAtMs = performance.now();
  record.add('the entry of i-leaving is removed; the runner serves on');
  await wait(RESTART_DELAY_MS);
  await restarted.start();
  await restarted.waitUntilReady();
  record.add(`${restarted.name} is ready again`);
  await wait(Math.max(0, cutAtMs + CUT_MS - performance.now()));
  if (isTroubled) {
    link.heal();
    record.add(`the link from ${cutOff.name} to the store is whole again`);
  }
  const inTouchFromMs = performance.now() + CONTACT_MS;
  await wait(CONTACT_MS + JUDGED_MS);
  isEnding = true;
  await Promise.all(clients);

  const judged = [...sent.values()].filter(
    ({ gateway, sentAtMs }) =>
      gateway === cutOff && sentAtMs > inTouchFromMs && sentAtMs > removedAtMs + DRAIN_MS,
  );
  const late = judged.filter(({ runners }) => runners.includes('i-leaving'));
  record.add(
    `${judged.length} requests were sent to ${cutOff.name} when it was in touch again, ` +
      `${late.length} of them reached i-leaving`,
  );
  if (judged.length === 0) return undefined;
  return late.length > 0;
});
