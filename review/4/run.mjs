// An engine in trouble streams bytes that never make an event, each in a chunk of its own.
import { setTimeout as wait } from 'node:timers/promises';
import { runCase } from '../lib/case.mjs';
import { createChannel, createRequestId, sendRequest } from '../lib/client.mjs';
import { createConfiguration, createRoute, HOST, KEY, MODEL } from '../lib/configuration.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { isTroubled } from '../lib/record.mjs';
import { Runner } from '../lib/runner.mjs';
import { writeEndlessBody } from '../lib/trouble.mjs';

/** Time limit of the route of the judged requests, and the time beyond it for their answer. */
const TIMEOUT_MS = 1200;
const TIMEOUT_SLACK_MS = 500;
/** Fewer requests than this past their time limit are not judged. */
const MIN_JUDGED = 8;
const TROUBLE_AT_MS = 4000;
const TROUBLE_MS = 5000;
const END_AT_MS = 16_000;
const HTTP_OK = 200;
const VIEW_CLIENTS = 12;
const STREAM_CLIENTS = 16;
const EVENTS = 58;
const EVENT_GAP_MS = 20;

const views = [];
let endlessAnswers = 0;
let isInTrouble = false;
let isEnding = false;

const streamEvents = async (runner, { incoming, request, response }) => {
  const lastEventId = Number(incoming.headers['last-event-id'] ?? 0);
  response.writeHead(200, {
    ...runner.createHeaders(request),
    'Content-Type': 'text/event-stream',
    'X-Lovagearch-Weight-Versions': '1',
  });
  for (let id = lastEventId + 1; id <= EVENTS && !incoming.socket.destroyed; id++) {
    response.write(`id: ${id}\ndata: ${request} ${id}\n\n`);
    await wait(EVENT_GAP_MS);
  }
  response.end();
};

const runViewClient = async (gateway, record) => {
  await wait(Math.random() * 1000);
  const agent = createChannel();
  while (!isEnding) {
    const id = createRequestId();
    const view = { sentAtMs: performance.now() };
    views.push(view);
    const answer = await sendRequest(gateway, {
      agent,
      record,
      id,
      path: `/ledger-view/${id}`,
      host: HOST,
      key: KEY,
      timeLimitMs: 15_000,
    });
    view.tookMs = answer.tookMs;
    view.status = answer.status;
    record.add(
      `view ${id} ends with ${answer.status ?? answer.error} after ${Math.round(answer.tookMs)} ms`,
    );
    await wait(200);
  }
  agent.destroy();
};

const runStreamClient = async (gateway, record, part) => {
  await wait(Math.random() * 1000);
  const agent = createChannel();
  while (!isEnding) {
    const id = createRequestId();
    const answer = await sendRequest(gateway, {
      agent,
      record,
      id,
      method: 'POST',
      path: `/crop-label/${id}`,
      body: 'prompt',
      host: HOST,
      key: KEY,
      timeLimitMs: 15_000,
      headers: {
        'X-Lovagearch-Model': MODEL,
        'X-Lovagearch-Token-Usage': '2368,58',
        'X-Lovagearch-Prefix-Hash': `${part}:1861,${id}:507`,
      },
    });
    const end = answer.isComplete ? 'whole' : 'cut';
    record.add(`stream ${id} ends with ${answer.status ?? answer.error}, ${end}`);
    await wait(200);
  }
  agent.destroy();
};

const createRun = (id, record) => async (runner, exchange) => {
  if (id !== 'i-trouble' || !isInTrouble) {
    await streamEvents(runner, exchange);
    return;
  }
  endlessAnswers += 1;
  record.add(`${id} answers ${exchange.request} with a body without end`);
  await writeEndlessBody(runner, exchange, {
    chunk: 'x',
    contentType: 'text/event-stream',
  });
  record.add(`the caller closed the channel of ${exchange.request}`);
};

await runCase(import.meta.url, async (record, keep) => {
  const routes = [
    createRoute('ledger-view', 'idempotent', 'ledger', { timeout_ms: TIMEOUT_MS }),
    createRoute('crop-label', 'streaming', 'estimator', {
      target_latency_ms: 1200,
      gap_target_ms: 300,
      resumable: true,
      session_affinity: true,
    }),
  ];
  const deployment = keep(await Deployment.create(createConfiguration(1, routes)));
  const { store } = deployment;
  const models = [{ name: MODEL, version: 1, adapters: [] }];
  const shared = { zone: 'chiayi', store, record };
  for (const id of ['i-ledger-1', 'i-ledger-2', 'i-ledger-3'])
    deployment.add(await Runner.start({ ...shared, id, service: 'ledger', slots: 6, workMs: 40 }));
  for (const id of ['i-trouble', 'i-engine']) {
    deployment.add(
      await Runner.start({
        ...shared,
        id,
        service: 'estimator',
        slots: 64,
        models,
        run: createRun(id, record),
      }),
    );
  }
  await deployment.startGateways(2);
  const [gateway] = deployment.gateways;
  const clients = [
    ...Array.from({ length: VIEW_CLIENTS }, () => runViewClient(gateway, record)),
    ...Array.from({ length: STREAM_CLIENTS }, (_, index) =>
      runStreamClient(gateway, record, `5c1e07${index + 10}`),
    ),
  ];
  await wait(TROUBLE_AT_MS);
  isInTrouble = isTroubled;
  if (isTroubled) record.add('i-trouble is in trouble');
  await wait(TROUBLE_MS);
  isInTrouble = false;
  record.add('i-trouble answers new requests as it should');
  await wait(END_AT_MS - TROUBLE_AT_MS - TROUBLE_MS);
  isEnding = true;
  await Promise.all(clients);

  const pastLimit = views.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
  const late = pastLimit.filter(({ tookMs }) => tookMs > TIMEOUT_MS + TIMEOUT_SLACK_MS);
  record.add(`${views.length} views, ${endlessAnswers} streams without end`);
  record.add(
    `${pastLimit.length} views had no answer at the time limit of their route, ${late.length} of them had none ` +
      `${TIMEOUT_SLACK_MS} ms later; the slowest took ${Math.round(Math.max(...views.map(({ tookMs }) => tookMs)))} ms`,
  );
  const hasServedViews = views.some(({ status }) => status === HTTP_OK);
  if (!hasServedViews || (isTroubled && endlessAnswers === 0)) return undefined;
  return pastLimit.length >= MIN_JUDGED && late.length > pastLimit.length / 2;
});
