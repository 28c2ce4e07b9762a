import {
  type AccountId,
  type AttemptId,
  createLogger,
  createNotRunError,
  createRandom,
  type EndpointId,
  ManualClock,
  type NodeId,
  type Region,
  type RequestId,
  type ServiceId,
  toId,
  type Zone,
} from '@lovagearch/common';
import type {
  ServiceClient,
  ServiceError,
  ServiceRequest,
  ServiceResponse,
} from '@lovagearch/service-client';
import { errAsync, okAsync, type Result } from 'neverthrow';
import t from 'tap';
import type { CallerConfiguration, PlainServiceView } from './callerConfiguration.js';
import { DecisionLog } from './decisionLog.js';
import { AtMostOnceCalls } from './atMostOnceCall.js';
import { ServiceInstanceSelector } from './serviceInstanceSelector.js';
import { type ReceivedCall, ServiceRequestHandler } from './serviceRequestHandler.js';
import { findRoute, isNormalizedPath } from './serviceRoutes.js';
import { ServiceCallSender } from './serviceCallSender.js';
import { createAdmissionFake, createContainmentFake } from './testFakes.js';
import type {
  Containment,
  EndpointDirectory,
  EndpointView,
  BeginRunResult,
  RunCoordinator,
} from './types.js';

const LEDGER: PlainServiceView = {
  type: 'plain',
  id: toId<ServiceId>('ledger'),
  checksCaller: true,
  routes: [
    { method: 'POST', path: '/claims', idempotent: false, timeoutMs: 5_000 },
    { method: 'POST', path: '/search/*', idempotent: true, timeoutMs: 5_000 },
    { method: 'POST', path: '/search/deep/*', idempotent: false, timeoutMs: 5_000 },
  ],
};
const ACCOUNT = {
  id: toId<AccountId>('jianan-01'),
  services: [LEDGER.id],
  defaultClass: 'standard' as const,
};
const IDENTITY = {
  id: toId<NodeId>('node-1'),
  region: toId<Region>('south'),
  zone: toId<Zone>('chiayi'),
};
const LOAD = { queuedPromptTokens: 0, activeSequences: 0, cacheUse: 0, ageMs: 0 };
const createInstance = (name: string, zone = 'chiayi', activeSequences = 0): EndpointView => ({
  id: toId<EndpointId>(name),
  service: LEDGER.id,
  kind: 'service',
  url: `http://${name}`,
  region: IDENTITY.region,
  zone: toId<Zone>(zone),
  state: 'ready',
  models: [],
  load: { ...LOAD, activeSequences },
  boot: '',
  confirmedAgeMs: 0,
});
const createDirectory = (
  views: EndpointView[],
  answered: EndpointId[] = [],
): EndpointDirectory => ({
  listEndpoints: () => views,
  listStores: () => [],
  getEndpoint: (id) => views.find((view) => view.id === id),
  updateLoad: () => undefined,
  reportResponse: (id) => answered.push(id),
  reportFailure: () => undefined,
  markLeaving: () => undefined,
  verifyReady: async () => false,
});
const CONFIGURATION: CallerConfiguration = {
  isLoaded: () => true,
  findAccountByKeyHash: () => ACCOUNT,
  findService: (name) => (name === LEDGER.id ? LEDGER : undefined),
  findModel: () => undefined,
  listModels: () => [],
  listServices: () => [LEDGER],
};
const PAID: ServiceResponse = {
  status: 201,
  headers: { 'content-type': 'text/plain', connection: 'keep-alive' },
  body: Buffer.from('paid'),
};
const CLAIM: ReceivedCall = {
  serviceName: 'ledger',
  method: 'POST',
  path: '/claims',
  query: '',
  headers: { authorization: 'Bearer secret', 'idempotency-key': 'claim-7' },
  body: Buffer.from('{"amount":5}'),
};
const CONTEXT = { requestId: toId<RequestId>('req-1'), account: ACCOUNT, arrivedAtMs: 0 };

type Answer = ServiceError | ServiceResponse;

/** Creates a handler with scripted service responses and a run coordinator that records its calls. */
const createFixture = (
  answers: Answer[],
  instances = ['a', 'b'].map((name) => createInstance(name)),
  containment: Containment = createContainmentFake(),
) => {
  const clock = ManualClock.create();
  const log = createLogger('error');
  const sent: { url: string; request: ServiceRequest }[] = [];
  const runCalls: string[] = [];
  const hashes: string[] = [];
  const services: ServiceClient = {
    send: (url, request) => {
      sent.push({ url, request });
      const answer = answers.shift() ?? PAID;
      return 'status' in answer ? okAsync(answer) : errAsync(answer);
    },
    readHealth: () => errAsync({ type: 'not_connected', message: '' }),
    close: async () => undefined,
  };
  const grant = {
    account: ACCOUNT.id,
    key: 'claim-7',
    attempt: toId<AttemptId>('attempt-1'),
    sendBeforeMs: 5_000,
  };
  const beginning: BeginRunResult[] = [];
  const runs: RunCoordinator = {
    begin: (_account, _key, hash) => {
      hashes.push(hash);
      runCalls.push('begin');
      return okAsync(beginning.shift() ?? { type: 'granted', grant });
    },
    finish: () => {
      runCalls.push('finish');
      return errAsync(createNotRunError('run_store_unavailable', ''));
    },
    release: () => {
      runCalls.push('release');
      return okAsync(undefined);
    },
    abandon: () => {
      runCalls.push('abandon');
    },
  };
  const answered: EndpointId[] = [];
  const directory = createDirectory(instances, answered);
  const admission = createAdmissionFake();
  const decisions = DecisionLog.create(clock, log);
  const sender = ServiceCallSender.create({
    log,
    decisions,
    services,
    directory,
    containment,
    instances: ServiceInstanceSelector.create(directory, IDENTITY, createRandom(1)),
    serviceToken: 'service-token',
  });
  const atMostOnceCalls = AtMostOnceCalls.create({
    clock,
    log,
    decisions,
    admission,
    runs,
    sender,
  });
  const handler = ServiceRequestHandler.create({
    configuration: CONFIGURATION,
    admission,
    decisions,
    sender,
    atMostOnceCalls,
  });
  return { handler, clock, sent, answered, runCalls, hashes, beginning };
};

/** Returns the value of a result, or throws if it is an error. */
const getValue = <Value, Problem>(result: Result<Value, Problem>): Value => {
  if (result.isOk()) return result.value;
  throw new Error(`unexpected error: ${JSON.stringify(result.error)}`);
};

/** Returns the error of a result, or throws if it is a value. */
const getError = <Value, Problem>(result: Result<Value, Problem>): Problem => {
  if (result.isErr()) return result.error;
  throw new Error('unexpected success');
};

const NOT_CONNECTED: ServiceError = { type: 'not_connected', message: '' };
const LOST: ServiceError = { type: 'connection_lost', message: '' };
const TIMEOUT: ServiceError = { type: 'timeout', timeoutMs: 1 };

// An answered call ends the trial phase of an instance that recovered; a lost one must not end it.
t.test(
  'an answered call is reported to the endpoint directory, a lost one is not',
  async (test) => {
    const { handler, answered } = createFixture([PAID, LOST], [createInstance('a')]);
    getValue(await handler.handle(CONTEXT, CLAIM));
    test.strictSame(answered, ['a']);
    getError(await handler.handle(CONTEXT, CLAIM));
    test.strictSame(answered, ['a']);
  },
);

t.test('a non-idempotent call without an idempotency key is not sent', async (test) => {
  const { handler, sent } = createFixture([]);
  const refused = await handler.handle(CONTEXT, { ...CLAIM, headers: {} });
  test.match(getError(refused), { type: 'idempotency_key_required', run: 'not_run' });
  test.equal(sent.length, 0);
});

t.test('a call is sent once, without the API key of its caller, and answered', async (test) => {
  const { handler, sent, runCalls } = createFixture([]);
  const answer = getValue(await handler.handle(CONTEXT, CLAIM));
  test.equal(answer.status, 201);
  test.strictSame(answer.headers, { 'content-type': 'text/plain' });
  test.strictSame(
    runCalls,
    ['begin', 'finish'],
    'the response is returned although recording it failed',
  );
  test.equal(sent.length, 1);
  test.match(sent[0]!.request.headers, {
    authorization: 'Bearer service-token',
    'idempotency-key': 'claim-7',
    'x-account': 'jianan-01',
    'x-request-id': 'req-1',
  });
});

t.test('a call whose outcome is unknown is never sent again', async (test) => {
  for (const failure of [LOST, TIMEOUT, { type: 'response_too_large', limitBytes: 1 } as const]) {
    const { handler, sent, runCalls } = createFixture([failure]);
    const failed = await handler.handle(CONTEXT, CLAIM);
    test.match(getError(failed), { type: 'outcome_unknown', run: 'unknown' });
    test.strictSame(runCalls, ['begin', 'abandon'], failure.type);
    test.equal(sent.length, 1);
  }
});

t.test(
  'a call that did not reach its instance is sent to another, else its key is released',
  async (test) => {
    const moved = createFixture([NOT_CONNECTED]);
    test.equal(getValue(await moved.handler.handle(CONTEXT, CLAIM)).status, 201);
    test.equal(new Set(moved.sent.map(({ url }) => url)).size, 2);
    const failed = createFixture([NOT_CONNECTED, NOT_CONNECTED]);
    const error = getError(await failed.handler.handle(CONTEXT, CLAIM));
    test.match(error, { type: 'no_endpoint', run: 'not_run' });
    test.strictSame(failed.runCalls, ['begin', 'release']);
  },
);

t.test('a call whose grant expired is not sent', async (test) => {
  const expired = createFixture([]);
  expired.clock.addMs(5_000);
  const error = getError(await expired.handler.handle(CONTEXT, CLAIM));
  test.match(error, { type: 'deadline_exceeded', run: 'not_run' });
  test.equal(expired.sent.length, 0);
  test.strictSame(expired.runCalls, ['begin', 'release']);
});

t.test('a recorded response is returned without a second run', async (test) => {
  const { handler, sent, beginning } = createFixture([]);
  beginning.push({ type: 'recorded', response: { ...PAID, status: 200 } });
  test.equal(getValue(await handler.handle(CONTEXT, CLAIM)).status, 200);
  test.equal(sent.length, 0);
});

// Guards against refusing a repeated call as quarantined although its outcome is in the run log.
t.test('a quarantined call gets its recorded response, a new one is not sent', async (test) => {
  const containment: Containment = {
    ...createContainmentFake(),
    check: () => ({ type: 'quarantined', error: createNotRunError('request_quarantined', '') }),
  };
  const { handler, sent, beginning, runCalls } = createFixture([], undefined, containment);
  beginning.push({ type: 'recorded', response: { ...PAID, status: 200 } });
  test.equal(getValue(await handler.handle(CONTEXT, CLAIM)).status, 200);
  const refused = getError(await handler.handle(CONTEXT, CLAIM));
  test.match(refused, { type: 'request_quarantined', run: 'not_run' });
  test.strictSame(runCalls, ['begin', 'begin', 'release']);
  const search = { ...CLAIM, path: '/search/plots', headers: {} };
  test.match(getError(await handler.handle(CONTEXT, search)), { type: 'request_quarantined' });
  test.equal(sent.length, 0);
});

t.test('calls with a different body or query have different hashes', async (test) => {
  const { handler, hashes } = createFixture([]);
  await handler.handle(CONTEXT, CLAIM);
  await handler.handle(CONTEXT, { ...CLAIM, body: Buffer.from('{"amount":6}') });
  await handler.handle(CONTEXT, { ...CLAIM, query: '?dry=1' });
  test.equal(new Set(hashes).size, 3);
});

t.test(
  'an idempotent call is retried on another instance; it is unknown only if it may have run',
  async (test) => {
    const search = { ...CLAIM, path: '/search/plots', headers: {} };
    const repeated = createFixture([LOST]);
    test.equal(getValue(await repeated.handler.handle(CONTEXT, search)).status, 201);
    test.equal(new Set(repeated.sent.map(({ url }) => url)).size, 2);
    test.strictSame(repeated.runCalls, []);
    const unreached = createFixture([NOT_CONNECTED, NOT_CONNECTED]);
    const error = getError(await unreached.handler.handle(CONTEXT, search));
    test.equal(error.run, 'not_run');
    const lost = createFixture([NOT_CONNECTED, TIMEOUT]);
    test.equal(getError(await lost.handler.handle(CONTEXT, search)).run, 'unknown');
  },
);

t.test('calls avoid instances that are loaded, remote, leaving or unconfirmed', async (test) => {
  const leaving = { ...createInstance('leaving'), state: 'leaving' as const };
  const stale = { ...createInstance('stale'), confirmedAgeMs: 3_001 };
  const views = [
    createInstance('loaded', 'chiayi', 9),
    createInstance('far', 'tainan'),
    leaving,
    stale,
  ];
  const { handler, sent } = createFixture([], [...views, createInstance('best')]);
  await handler.handle(CONTEXT, CLAIM);
  test.equal(sent[0]?.url, 'http://best');
});

t.test('path variants cannot bypass a non-idempotent route', async (test) => {
  for (const path of [
    '/x/../claims',
    '//claims',
    '/%2e%2e/claims',
    '/a%2fclaims',
    '/a\\b',
    '/%00',
  ]) {
    test.notOk(isNormalizedPath(path), path);
  }
  test.ok(isNormalizedPath('/parcels/7%20b'));
  test.notOk(findRoute(LEDGER, 'POST', '/claims').idempotent);
  test.ok(findRoute(LEDGER, 'POST', '/search/plots').idempotent);
  test.notOk(
    findRoute(LEDGER, 'POST', '/search/d%65ep/plots').idempotent,
    'percent-encoding is decoded',
  );
  test.notOk(
    findRoute(LEDGER, 'POST', '/search/deep/plots').idempotent,
    'the longest pattern wins',
  );
  test.notOk(findRoute(LEDGER, 'DELETE', '/unlisted').idempotent);
  test.ok(findRoute(LEDGER, 'GET', '/unlisted').idempotent);
});
