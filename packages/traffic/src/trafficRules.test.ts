import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { chooseTarget, isRetryable, type Route, TrafficRules } from './index.js';

const createRoute = (prefix: string, overrides: Partial<Route> = {}): Route => ({
  name: prefix,
  host: 'a.example',
  prefix,
  kind: 'idempotent',
  targets: [{ service: 'app', weight: 1 }],
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  maxEventGapMs: 300,
  maxAttempts: 1,
  priority: 0,
  isPublic: false,
  isResumable: false,
  hasPromptParts: false,
  ...overrides,
});

const createRules = (routes: readonly Route[]) =>
  TrafficRules.create({
    version: 1,
    routes,
    services: [],
    cacheStores: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    accounts: [{ name: 'zamu', keys: ['k1'], isIsolated: false }],
  });

t.test('the route with the longest matching prefix is found', async (t2) => {
  const segment = fc.constantFrom('a', 'b', 'c', 'd');
  const path = fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`);
  const prefix = fc
    .array(segment, { maxLength: 3 })
    .map((parts) => (parts.length === 0 ? '/' : `/${parts.join('/')}/`));
  fc.assert(
    fc.property(fc.uniqueArray(prefix, { maxLength: 8 }), path, (prefixes, requested) => {
      const rules = createRules(prefixes.map((one) => createRoute(one)));
      const expected = prefixes
        .filter((one) => requested.startsWith(one))
        .sort((a, b) => b.length - a.length)[0];
      assert.equal(rules.findRoute('A.example', `${requested}?x=/a/b/`)?.prefix, expected);
    }),
  );
  t2.end();
});

t.test('lookups of an unknown host, path or key return undefined', async (t2) => {
  const rules = createRules([createRoute('/a/')]);
  t2.equal(rules.findRoute('b.example', '/a/x'), undefined);
  t2.equal(rules.findRoute('a.example', '/b/x'), undefined);
  t2.equal(rules.findRoute('a.example', '/a'), undefined);
  t2.equal(rules.findAccount('k2'), undefined);
  t2.equal(rules.findAccount('k1')?.name, 'zamu');
});

t.test('a target with weight 0 receives no requests', async (t2) => {
  const targets = [
    { service: 'none', weight: 0 },
    { service: 'most', weight: 90 },
    { service: 'some', weight: 10 },
  ];
  t2.equal(chooseTarget(targets, 0)?.service, 'most');
  t2.equal(chooseTarget(targets, 0.89)?.service, 'most');
  t2.equal(chooseTarget(targets, 0.91)?.service, 'some');
  t2.equal(chooseTarget([{ service: 'none', weight: 0 }], 0.5), undefined);
});

t.test('a stream that can not be resumed is not retried', async (t2) => {
  t2.equal(isRetryable(createRoute('/', { kind: 'streaming' })), false);
  t2.equal(isRetryable(createRoute('/', { kind: 'streaming', isResumable: true })), true);
  t2.equal(isRetryable(createRoute('/', { kind: 'non_idempotent' })), false);
  t2.equal(isRetryable(createRoute('/', { kind: 'idempotent' })), true);
});
