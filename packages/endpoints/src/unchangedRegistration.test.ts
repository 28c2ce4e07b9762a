import t from 'tap';
import { createRandom } from '@lovagearch/common';
import {
  chooseEndpoint,
  type EndpointChoiceInput,
  type EndpointRecord,
  EndpointTable,
  PromptCacheEstimator,
} from './index.js';

const HEARTBEAT_MS = 1_000;
const CHOICE_COUNT = 200;

const createRecord = (id: string, heartbeat: number, weights: number): EndpointRecord => ({
  id,
  startedUnixMs: 1,
  softwareVersion: 'v1',
  service: 'llm',
  address: `${id}:1`,
  zone: 'z1',
  slots: 4,
  state: 'ready',
  warmupRemainingMs: 0,
  heartbeat,
  weights: new Map([['m', weights]]),
});

// Guards against nodes that all send everything to the one endpoint whose registration changed last. The
// store shows a registration again only if more than its heartbeat count has changed.
t.test('endpoints without changes are used beside one with a new registration', async (t2) => {
  const table = EndpointTable.create();
  table.applyRecord(createRecord('i-1', 1, 1), 0);
  table.applyRecord(createRecord('i-2', 1, 1), 0);
  // Eight further heartbeats were not shown.
  const changedAtMs = 9 * HEARTBEAT_MS;
  table.applyRecord(createRecord('i-2', 9, 2), changedAtMs);
  const input: EndpointChoiceInput = {
    request: {
      service: 'llm',
      parts: [],
      cacheSalt: undefined,
      store: undefined,
      memoryTokens: 0,
      engineMemoryTokens: 0,
      model: 'm',
      excluded: new Set(),
      getWeightsRemainingMs: () => Number.POSITIVE_INFINITY,
    },
    endpoints: table.listReady('llm'),
    promptCache: PromptCacheEstimator.create(),
    nodeLocation: { zone: 'z1', region: 'r1', regionByZone: new Map([['z1', 'r1']]) },
    heartbeatMs: HEARTBEAT_MS,
    areRegistrationsCurrent: true,
    nodeCount: 1,
    nowMs: changedAtMs + HEARTBEAT_MS,
    random: createRandom(1),
  };
  const chosenIds = new Set<string | undefined>();
  for (let index = 0; index < CHOICE_COUNT; index += 1)
    chosenIds.add(chooseEndpoint(input)?.endpointId);
  t2.strictSame([...chosenIds].sort(), ['i-1', 'i-2']);
});
