// A store of KV cache in trouble answers each gateway's event call with a body without end, in small chunks.
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { runCase } from '../lib/case.mjs';
import { ClaimLoad } from '../lib/claimLoad.mjs';
import { createConfiguration } from '../lib/configuration.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { isTroubled } from '../lib/record.mjs';
import { writeEndlessBody } from '../lib/trouble.mjs';

/** Requests that may lose their channel by the rule. */
const ALLOWED_LOSSES = 3;
const GATEWAYS = 3;
const CLAIM_CLIENTS = 6;
const TROUBLE_AT_MS = 7000;
const TROUBLE_MS = 6000;
const END_AT_MS = 16_000;

let endlessAnswers = 0;
let isInTrouble = false;
let isEnding = false;

/** Stand-in of a store of KV cache that holds nothing. */
const startCacheStore = async (deployment, record) => {
  const server = createServer((incoming, response) => {
    if (isInTrouble) {
      endlessAnswers += 1;
      record.add(`the store answers ${incoming.url} with a body without end`);
      const runner = { createHeaders: () => ({}) };
      writeEndlessBody(runner, { incoming, request: '' }, { chunk: 'x' });
      return;
    }
    const waitMs = Number(incoming.headers['wait-ms'] ?? 0);
    setTimeout(() => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ boot_epoch: 77_120, next: 1, lost: false, events: [] }));
    }, waitMs);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  deployment.add({
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  });
  return `127.0.0.1:${server.address().port}`;
};

const noteOwnEnd = async (gateway, ended, record) => {
  const [code, signal] = await gateway.exited;
  if (isEnding) return;
  ended.push(gateway.name);
  record.add(`the process of ${gateway.name} ended by itself: code ${code}, signal ${signal}`);
};

await runCase(import.meta.url, async (record, keep) => {
  const load = ClaimLoad.create(record);
  const configuration = createConfiguration(1, [ClaimLoad.createRoute()]);
  const deployment = keep(await Deployment.create(configuration));
  const { store } = deployment;
  configuration.backends.push({
    name: 'prompt-keep-s',
    kv_store_addr: await startCacheStore(deployment, record),
    zone: 'taoyuan',
    kv_capacity_tokens: 156_269,
    link_mbps: 120_000,
    first_ms: 0.5,
    max_concurrency: 20,
    managed: true,
  });
  store.putRow('op', 'config', { ...configuration, version: 2 });
  await load.startRunners(deployment);
  await deployment.startGateways(GATEWAYS);
  const ended = [];
  for (const gateway of deployment.gateways) {
    noteOwnEnd(gateway, ended, record);
    load.startClients(gateway, CLAIM_CLIENTS);
  }
  await wait(TROUBLE_AT_MS);
  isInTrouble = isTroubled;
  await wait(TROUBLE_MS);
  isInTrouble = false;
  await wait(END_AT_MS - TROUBLE_AT_MS - TROUBLE_MS);
  isEnding = true;
  await load.stop();

  const lost = load.listLost();
  record.add(`${load.claims.size} claims, ${endlessAnswers} answers without end`);
  record.add(`${ended.length} of ${GATEWAYS} processes ended by themselves`);
  record.add(
    `${lost.length} claims had reached a sound runner when their kept channel was closed unanswered`,
  );
  if (!load.hasServedClaims || (isTroubled && endlessAnswers === 0)) return undefined;
  return lost.length > ALLOWED_LOSSES;
});
