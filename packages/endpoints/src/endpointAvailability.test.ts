import t from 'tap';
import {
  countAvailabilities,
  countRestrictions,
  decideAvailability,
  Endpoint,
  type EndpointAvailability,
  findEarliestHoldEndMs,
  selectCandidates,
} from './index.js';

const USABLE = {
  isInAllowedRegion: true,
  isEvacuated: false,
  isCold: false,
  hasNeededSoftware: true,
  isLeaving: false,
  heldUntilMs: undefined,
  hasFreeConnection: true,
  isReachable: true,
  isWithinRateLimit: () => true,
  isLoadingWeights: false,
  isWithinRejectionShare: () => true,
};

const createAvailability = (type: EndpointAvailability['type']): EndpointAvailability =>
  type === 'held' ? { type, untilMs: 0 } : { type };

const createCandidate = (index: number, type: EndpointAvailability['type'] = 'available') => ({
  endpoint: Endpoint.create(
    {
      id: `i-${index}`,
      startedUnixMs: 1,
      softwareVersion: 'v1',
      service: 'llm',
      address: '10.0.0.1:80',
      zone: 'z1',
      slots: 4,
      state: 'ready',
      warmupRemainingMs: 0,
      heartbeat: 1,
      weights: new Map(),
    },
    0,
  ),
  availability: createAvailability(type),
});

const createCandidates = (types: readonly EndpointAvailability['type'][]) =>
  types.map((type, index) => createCandidate(index, type));

const selectIds = (types: readonly EndpointAvailability['type'][]) => {
  const { endpoints, unavailableIds } = selectCandidates(createCandidates(types));
  return { ids: endpoints.map(({ record }) => record.id), unavailableIds };
};

t.test('an endpoint is available only if nothing forbids a request', async (t2) => {
  t2.equal(decideAvailability(USABLE).type, 'available');
  t2.equal(decideAvailability({ ...USABLE, isLoadingWeights: true }).type, 'loading_weights');
  t2.equal(decideAvailability({ ...USABLE, isWithinRateLimit: () => false }).type, 'rate_limited');
  t2.equal(decideAvailability({ ...USABLE, isWithinRejectionShare: () => false }).type, 'brittle');
  t2.equal(decideAvailability({ ...USABLE, hasFreeConnection: false }).type, 'no_connection');
  t2.equal(decideAvailability({ ...USABLE, isLeaving: true }).type, 'leaving');
  t2.equal(
    decideAvailability({ ...USABLE, isReachable: false, hasFreeConnection: false }).type,
    'unreachable',
  );
  t2.strictSame(decideAvailability({ ...USABLE, heldUntilMs: 7 }), { type: 'held', untilMs: 7 });
});

// Guards against a probe of a limited endpoint that lapses unused because no connection is free.
t.test('a rate limit is not asked about an endpoint without a free connection', async (t2) => {
  let questions = 0;
  const isWithinRateLimit = () => {
    questions += 1;
    return true;
  };
  decideAvailability({ ...USABLE, hasFreeConnection: false, isWithinRateLimit });
  t2.equal(questions, 0);
});

t.test('a limited endpoint keeps its prompts, and a loading one is the last choice', async (t2) => {
  t2.strictSame(selectIds(['available', 'loading_weights', 'no_connection', 'rate_limited']), {
    ids: ['i-0', 'i-3'],
    unavailableIds: ['i-3'],
  });
  // Guards against a refusal while an endpoint that loads weights could take the request.
  t2.strictSame(selectIds(['loading_weights', 'rate_limited']), {
    ids: ['i-0', 'i-1'],
    unavailableIds: ['i-1'],
  });
  // Guards against prompts that move to another endpoint during a hold.
  t2.strictSame(selectIds(['held']), { ids: ['i-0'], unavailableIds: ['i-0'] });
  t2.strictSame(selectIds(['no_connection']), { ids: [], unavailableIds: [] });
  // Guards against prompts that move to another endpoint during a cut.
  t2.strictSame(selectIds(['unreachable']), { ids: ['i-0'], unavailableIds: ['i-0'] });
  // Guards against a leaving endpoint that keeps its prompts, which then no endpoint has cached when it is gone.
  t2.strictSame(selectIds(['leaving']), { ids: [], unavailableIds: [] });
});

t.test('endpoints are counted by availability', async (t2) => {
  t2.strictSame(
    countAvailabilities(createCandidates(['available', 'rate_limited', 'rate_limited'])),
    {
      available: 1,
      rate_limited: 2,
    },
  );
});

// Guards against callers that come back while every endpoint is still held, or later than the first is free.
t.test('the end of the first hold is known if only holds keep all endpoints', async (t2) => {
  const find = (availabilities: readonly EndpointAvailability[]) =>
    findEarliestHoldEndMs(
      availabilities.map((availability) => ({ ...createCandidate(0), availability })),
    );
  const held = [
    { type: 'held', untilMs: 9 },
    { type: 'held', untilMs: 5 },
  ] as const;
  t2.equal(find([...held, { type: 'leaving' }]), 5);
  for (const type of ['available', 'loading_weights', 'no_connection', 'rate_limited'] as const)
    t2.equal(find([...held, { type }]), undefined, type);
  t2.equal(find([{ type: 'leaving' }]), undefined);
  t2.equal(find([]), undefined);
});

// Guards against a placement line that says nothing of the rules which kept a request from an endpoint.
t.test('endpoints that placement rules exclude are counted', async (t2) => {
  const types = ['available', 'outside_region', 'evacuated', 'cold', 'cold', 'leaving'] as const;
  t2.strictSame(countRestrictions(createCandidates(types)), { region: 1, evacuated: 1, cold: 2 });
  t2.equal(countRestrictions(createCandidates(['available', 'leaving'])), undefined);
  t2.strictSame(selectIds(types), { ids: ['i-0', 'i-3', 'i-4'], unavailableIds: ['i-3', 'i-4'] });
});
