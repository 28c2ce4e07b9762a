// A request crashes each engine that has begun to answer it, and comes again.
import { setTimeout as wait } from 'node:timers/promises';
import { runCase } from '../lib/case.mjs';
import { createChannel, createRequestId, sendRequest } from '../lib/client.mjs';
import { createConfiguration, createRoute, HOST, KEY, MODEL } from '../lib/configuration.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { isTroubled } from '../lib/record.mjs';
import { Runner } from '../lib/runner.mjs';

const CONTACT_MS = 3000;
/** Crashes after which the request has to be known, and requests with it that may still reach runners. */
const CRASHES_TO_KNOW = 3;
const ALLOWED_REQUESTS = 3;
const ENGINES = 4;
const DOWN_MS = 2000;
/** Heartbeats after which the entry of a crashed runner lapses. */
const LAPSE_MS = 3600;
const CRASH_AFTER_EVENT_MS = 30;
const EVENTS = 20;
const EVENT_GAP_MS = 30;
const SOUND_CLIENTS = 4;
const POISON_GAP_MS = 1200;
const POISON_AT_MS = 4000;
const END_AT_MS = 30_000;
const POISON_PATH = '/field-note/poison';
const POISON_BODY = 'the body that crashes engines';

const crashes = [];
const arrivals = [];
const cutStreams = [];
let startedEngines = 0;
let wholeStreams = 0;
let isEnding = false;

const createWriteEvent = (response, request) => (id) =>
  response.write(`id: ${id}\ndata: ${request} ${id}\n\n`);

/** @param restart starts the engine again, as a new boot */
const crash = (record, runner, restart) => {
  const { id } = runner.options;
  crashes.push(performance.now());
  record.add(`${id} crashes (${crashes.length})`);
  runner.crash();
  setTimeout(() => runner.leave(), LAPSE_MS);
  setTimeout(() => {
    if (!isEnding) restart();
  }, DOWN_MS);
};

const createRun =
  (record, restart) =>
  async (runner, { body, incoming, request, response }) => {
    const isPoison = body.toString() === POISON_BODY;
    if (isPoison) arrivals.push(request);
    const writeEvent = createWriteEvent(response, request);
    await wait(EVENT_GAP_MS);
    response.writeHead(200, {
      ...runner.createHeaders(request),
      'Content-Type': 'text/event-stream',
      'X-Lovagearch-Weight-Versions': '1',
    });
    for (let id = 1; id <= EVENTS && !incoming.socket.destroyed; id++) {
      writeEvent(id);
      if (isPoison) {
        await wait(CRASH_AFTER_EVENT_MS);
        crash(record, runner, restart);
        return;
      }
      await wait(EVENT_GAP_MS);
    }
    response.end();
  };

const startEngine = async (deployment, record, slot) => {
  startedEngines += 1;
  const engine = await Runner.start({
    id: `i-engine-${slot}-${startedEngines}`,
    service: 'estimator',
    zone: 'chiayi',
    slots: 64,
    store: deployment.store,
    record,
    models: [{ name: MODEL, version: 1, adapters: [] }],
    run: createRun(record, () => startEngine(deployment, record, slot)),
  });
  record.add(`${engine.options.id} starts`);
  deployment.add(engine);
};

const sendNote = async (gateway, record, { agent, body, ownPart, path }) => {
  const id = createRequestId();
  const sentAtMs = performance.now();
  const answer = await sendRequest(gateway, {
    agent,
    record,
    id,
    method: 'POST',
    path,
    body,
    host: HOST,
    key: KEY,
    timeLimitMs: 12_000,
    headers: {
      'X-Lovagearch-Model': MODEL,
      'X-Lovagearch-Token-Usage': '827,20',
      'X-Lovagearch-Prefix-Hash': `5c1e07a2:119,91bd3f06:531,${ownPart}:177`,
    },
  });
  const end = answer.isComplete ? 'whole' : 'cut';
  record.add(
    `${id} (${path}) at ${gateway.name} ends with ${answer.status ?? answer.error}, ${end}`,
  );
  return { id, sentAtMs, isCut: !answer.isComplete };
};

const runSoundClient = async (gateway, record) => {
  while (!isEnding) {
    const agent = createChannel();
    const name = createRequestId();
    const { sentAtMs, isCut } = await sendNote(gateway, record, {
      agent,
      ownPart: name,
      path: `/field-note/${name}`,
      body: `note ${name}`,
    });
    if (isCut) cutStreams.push(sentAtMs);
    else wholeStreams += 1;
    agent.destroy();
    await wait(100);
  }
};

await runCase(import.meta.url, async (record, keep) => {
  const routes = [
    createRoute('field-note', 'streaming', 'estimator', {
      target_latency_ms: 800,
      gap_target_ms: 300,
      max_attempts: 1,
      session_affinity: true,
    }),
  ];
  const deployment = keep(await Deployment.create(createConfiguration(1, routes)));
  for (let slot = 0; slot < ENGINES; slot++) await startEngine(deployment, record, slot);
  await deployment.startGateways(2);
  const { gateways } = deployment;
  const clients = Array.from({ length: SOUND_CLIENTS }, (_, index) =>
    runSoundClient(gateways[index % gateways.length], record),
  );
  await wait(POISON_AT_MS);
  const poisons = [];
  const poisonEndMs = performance.now() + END_AT_MS - POISON_AT_MS;
  while (isTroubled && performance.now() < poisonEndMs) {
    const agent = createChannel();
    const gateway = gateways[poisons.length % gateways.length];
    const poison = { agent, ownPart: 'e4402b7d', path: POISON_PATH, body: POISON_BODY };
    poisons.push(await sendNote(gateway, record, poison));
    agent.destroy();
    await wait(POISON_GAP_MS);
  }
  if (!isTroubled) await wait(END_AT_MS - POISON_AT_MS);
  isEnding = true;
  await Promise.all(clients);

  const knownFromMs = (crashes[CRASHES_TO_KNOW - 1] ?? Infinity) + CONTACT_MS;
  const late = poisons.filter(
    ({ id, sentAtMs }) => sentAtMs > knownFromMs && arrivals.includes(id),
  );
  const cutLate = cutStreams.filter((sentAtMs) => sentAtMs > knownFromMs);
  record.add(
    `${poisons.length} requests with the body that crashes engines, ${crashes.length} crashes`,
  );
  record.add(
    `${late.length} of those sent later than ${CONTACT_MS} ms after the third crash reached engines; ` +
      `${cutLate.length} sound streams sent since then were cut`,
  );
  if (wholeStreams === 0 || (isTroubled && crashes.length < CRASHES_TO_KNOW)) return undefined;
  return late.length > ALLOWED_REQUESTS;
});
