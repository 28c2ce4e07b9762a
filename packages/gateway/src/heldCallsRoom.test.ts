import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { HOLD_CHECK_INTERVAL_MS } from './constants.js';
import type { RoutedRequest } from './createAttempt.js';
import { decideOverload, recordAdmitted } from './createOverloadRefusal.js';
import type { GatewayContext } from './gatewayContext.js';
import { HeldCalls } from './heldCalls.js';
import { OverloadState } from './overloadState.js';
import type { ChosenEndpoint } from './placeRequest.js';

/** Room is sought for two requests at once at most; without a bound, a search that never ends would hang the test. */
const MAX_SEARCHES = 1_000;
const TIME_LIMIT_MS = 5_000;
/** Prompt that takes several rounds of the deficit round robin. */
const PROMPT_TOKENS = 1_000;

const createContext = () =>
  ({
    clock: { nowMs: () => performance.now() },
    overloadState: OverloadState.create({ maxCount: 10, maxBytes: 1_000 }),
    getShutdown: () => undefined,
    settings: { isDemandAdmissionEnabled: true },
    metrics: { recordAdmission: () => undefined },
    log: { logRequest: () => undefined, logProblem: () => undefined },
    clusterState: { endpoints: { listReady: () => [1] }, nodeCount: 1, trafficRules: undefined },
  }) as unknown as GatewayContext;

const createChosen = (id: string, expectedMs = 300) =>
  ({
    endpoint: {
      record: { id, slots: 4 },
      timings: { residenceMs: 100 },
      getLoadAgeMs: () => 1,
    },
    placement: { expectedMs, ownMs: 50, roundTripMs: 1, uncachedTokens: PROMPT_TOKENS },
  }) as unknown as ChosenEndpoint;

const createRequest = (account: string) =>
  ({
    head: { requestId: account, promptTokens: PROMPT_TOKENS, maxOutputTokens: 10 },
    route: {
      name: 'chat',
      kind: 'streaming',
      targetLatencyMs: 400,
      maxEventGapMs: 300,
      hasPromptParts: true,
      priority: 1,
    },
    service: 'engines',
    account: { name: account },
    body: undefined,
  }) as unknown as RoutedRequest;

const holdRequests = (rooms: Readonly<Record<string, ChosenEndpoint | undefined>>) => {
  const context = createContext();
  const heldCalls = HeldCalls.create();
  let searches = 0;
  const holds = Object.entries(rooms).map(([account, room]) =>
    heldCalls.hold(context, {
      routedRequest: createRequest(account),
      chosen: createChosen('best'),
      reason: 'headroom',
      elapsedMs: 0,
      timeLimitMs: TIME_LIMIT_MS,
      findRoom: () => {
        searches += 1;
        if (searches > MAX_SEARCHES) throw new Error('the search for room does not end');
        return room;
      },
    }),
  );
  return { holds, countSearches: () => searches };
};

// Guards against a process that hangs while a request waits at it.
t.test('room is sought once per interval for a request that finds none', async (t2) => {
  const { holds, countSearches } = holdRequests({ a: undefined });
  await sleep(3 * HOLD_CHECK_INTERVAL_MS);
  t2.ok(countSearches() > 0 && countSearches() < 10, `${countSearches()} searches`);
  holds[0]!.cancel();
  t2.equal(await holds[0]!.ended, undefined);
});

// Guards against a request that is sent to the endpoint found for another one, or refused as another one has no room.
t.test('each request is sent to the endpoint that has room for it', async (t2) => {
  const [first, second] = [createChosen('first'), createChosen('second')];
  const both = holdRequests({ a: first, b: second });
  t2.strictSame(
    (await Promise.all(both.holds.map((hold) => hold!.ended))).map((room) => room?.endpoint.record),
    [first, second].map((room) => room.endpoint.record),
  );
  const { holds } = holdRequests({ a: first, b: undefined });
  t2.equal(await holds[0]!.ended, first);
  holds[1]!.cancel();
});

// Guards against accounts that give way since room was found for their held requests more than once.
t.test('a held request counts as admitted once', async (t2) => {
  const context = createContext();
  let admissions = 0;
  Object.assign(context, {
    settings: { isDemandAdmissionEnabled: true },
    random: () => 0,
    metrics: {
      recordHeadroom: () => undefined,
      recordAdmission: () => {
        admissions += 1;
      },
    },
  });
  const [request, chosen] = [createRequest('a'), createChosen('first', 60)];
  const timing = { elapsedMs: 0, timeLimitMs: TIME_LIMIT_MS };
  for (let search = 0; search < 3; search++)
    t2.equal(decideOverload(context, request, chosen, timing, true).type, 'admit');
  t2.equal(admissions, 0);
  recordAdmitted(context, request, chosen, true);
  t2.equal(admissions, 1);
});
