// A runner in trouble answers four requests with a body without end, in small chunks.
import { setTimeout as wait } from 'node:timers/promises';
import { runCase } from '../lib/case.mjs';
import { ClaimLoad } from '../lib/claimLoad.mjs';
import { createChannel, createRequestId, sendRequest } from '../lib/client.mjs';
import { createConfiguration, createRoute, HOST, KEY } from '../lib/configuration.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { isTroubled } from '../lib/record.mjs';
import { Runner } from '../lib/runner.mjs';
import { writeEndlessBody } from '../lib/trouble.mjs';

/** Requests that may lose their channel by the rule. */
const ALLOWED_LOSSES = 3;
const CLAIM_CLIENTS = 12;
const REPORT_CLIENTS = 6;
const REPORT_MS = 40;
const MAX_ENDLESS_ANSWERS = 4;
const TROUBLE_AT_MS = 7000;
const END_AT_MS = 14_000;

let endlessAnswers = 0;
let isInTrouble = false;
let isEnding = false;

const runReportClient = async (gateway, record) => {
  const agent = createChannel();
  while (!isEnding) {
    const id = createRequestId();
    const answer = await sendRequest(gateway, {
      agent,
      id,
      path: `/acreage-report/${id}`,
      host: HOST,
      key: KEY,
      timeLimitMs: 15_000,
    });
    record.add(`report ${id} ends with ${answer.status ?? answer.error}`);
    await wait(100);
  }
  agent.destroy();
};

const createRun = (id, record) => async (runner, exchange) => {
  const { body, request, response } = exchange;
  if (id !== 'i-trouble' || !isInTrouble) {
    await runner.answer(response, request, body, REPORT_MS);
    return;
  }
  endlessAnswers += 1;
  isInTrouble = endlessAnswers < MAX_ENDLESS_ANSWERS;
  record.add(`${id} answers ${request} with a body without end`);
  await writeEndlessBody(runner, exchange, { chunk: 'x' });
  record.add(`the caller closed the channel of ${request}`);
};

await runCase(import.meta.url, async (record, keep) => {
  const load = ClaimLoad.create(record);
  const routes = [
    ClaimLoad.createRoute(),
    createRoute('acreage-report', 'idempotent', 'reports', { target_latency_ms: 800 }),
  ];
  const configuration = createConfiguration(1, routes);
  configuration.backends.push({ name: 'reports', max_connections: 110 });
  const deployment = keep(await Deployment.create(configuration));
  const { store } = deployment;
  await load.startRunners(deployment);
  for (const id of ['i-report', 'i-trouble']) {
    const options = {
      id,
      service: 'reports',
      zone: 'chiayi',
      slots: 6,
      store,
      run: createRun(id, record),
    };
    deployment.add(await Runner.start(options));
  }
  await deployment.startGateways(2);
  const [gateway] = deployment.gateways;
  let hasEndedByItself = false;
  gateway.exited.then(([code, signal]) => {
    if (isEnding) return;
    hasEndedByItself = true;
    record.add(`the process of ${gateway.name} ended by itself: code ${code}, signal ${signal}`);
  });
  load.startClients(gateway, CLAIM_CLIENTS);
  const reports = Array.from({ length: REPORT_CLIENTS }, () => runReportClient(gateway, record));
  await wait(TROUBLE_AT_MS);
  isInTrouble = isTroubled;
  await wait(END_AT_MS - TROUBLE_AT_MS);
  isEnding = true;
  await Promise.all([...reports, load.stop()]);

  const lost = load.listLost();
  record.add(`${load.claims.size} claims, ${endlessAnswers} answers without end`);
  record.add(`the process ended by itself: ${hasEndedByItself}`);
  record.add(
    `${lost.length} claims had reached a sound runner when their kept channel was closed unanswered`,
  );
  if (isTroubled && endlessAnswers === 0) return undefined;
  return lost.length > ALLOWED_LOSSES;
});
