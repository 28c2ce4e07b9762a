import t from 'tap';
import { Endpoint, type SentRequest } from './index.js';

const NODES = 85;

const createEndpoint = (slots: number) =>
  Endpoint.create(
    {
      id: 'i-1',
      startedUnixMs: 1,
      service: 'app',
      address: '10.0.0.1:80',
      zone: 'z1',
      slots,
      state: 'ready',
      warmupRemainingMs: 0,
      heartbeat: 1,
      weights: new Map(),
    },
    0,
  );

const createSent = (memoryTokens: number): SentRequest => ({
  tokens: 0,
  memoryTokens,
  ownMs: 0,
  expectedWaitMs: 0,
  roundTripMs: 0,
  mayLoadParts: false,
  sentAtMs: 0,
});

// Guards against a node of many that takes an endpoint without a recent report for an idle one.
t.test('an old report counts as the usual load of its endpoint', async (t2) => {
  const endpoint = createEndpoint(6);
  const atMs = 2_000;
  for (let index = 1; index <= 20; index++)
    endpoint.recordLoadReport({ running: 6, waiting: 2, slots: 6 }, index * 100);
  endpoint.recordLoadReport({ running: 1, waiting: 0, slots: 6 }, atMs);
  const estimateAfter = (ageMs: number, nodeCount = NODES) => {
    const { running, waiting } = endpoint.estimateRequests(atMs + ageMs, nodeCount);
    return running + waiting;
  };
  t2.ok(estimateAfter(0) < 1.5, 'a fresh report counts');
  t2.ok(estimateAfter(1_500) > 6.5, `${estimateAfter(1_500)}`);
  endpoint.recordSent(createSent(0));
  t2.ok(estimateAfter(0) > 1.9, 'with the requests sent since');
  t2.equal(estimateAfter(20_000), 1, 'a very old one says nothing');
  t2.equal(estimateAfter(1_500, 16), 1, 'fewer nodes know each other');
});
