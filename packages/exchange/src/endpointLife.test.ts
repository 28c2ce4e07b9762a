import t from 'tap';
import { MIN_RESTART_MS, SETTLE_MS, UNREAD_SETTLE_MS } from './constants.js';
import { type ConnectionEvidence, decideEndpointLife, type EndpointLife } from './endpointLife.js';
import { isFramed } from './isFramed.js';

const BASE: ConnectionEvidence = {
  opening: 'accepted',
  hasOlderConnection: false,
  hasUnreadConnection: false,
  hasLostConnection: false,
  openedAfterMs: 0,
  watchedMs: 0,
};

const CASES: readonly [string, Partial<ConnectionEvidence>, EndpointLife | 'undecided'][] = [
  ['an endpoint that accepts at once runs', {}, 'running'],
  ['an endpoint that refuses has ended', { opening: 'refused' }, 'ended'],
  [
    'one that accepts after the time of a restart may be a new process',
    { openedAfterMs: MIN_RESTART_MS },
    'unknown',
  ],
  [
    'one that accepts late runs if an older connection is open',
    { openedAfterMs: MIN_RESTART_MS, hasOlderConnection: true },
    'running',
  ],
  [
    'one that accepts has ended if all its other connections ended',
    { hasLostConnection: true },
    'ended',
  ],
  [
    'one that accepts and has closed one of several connections is looked at again',
    { hasLostConnection: true, hasOlderConnection: true },
    'undecided',
  ],
  [
    'one that accepts and has closed one of several connections runs if others stay open',
    { hasLostConnection: true, hasOlderConnection: true, watchedMs: SETTLE_MS },
    'running',
  ],
  [
    'one that refuses and has an older connection is looked at again',
    { opening: 'refused', hasOlderConnection: true },
    'undecided',
  ],
  [
    'one that refuses runs if an older connection stays open, as it is leaving',
    { opening: 'refused', hasOlderConnection: true, watchedMs: SETTLE_MS },
    'running',
  ],
  [
    'one that refuses and has an older connection that is not read is looked at again',
    { opening: 'refused', hasUnreadConnection: true, watchedMs: SETTLE_MS },
    'undecided',
  ],
  [
    'one that refuses has ended if its older connections are never read',
    { opening: 'refused', hasUnreadConnection: true, watchedMs: UNREAD_SETTLE_MS },
    'ended',
  ],
  ['one that does not accept is unknown', { opening: 'failed' }, 'unknown'],
  [
    'one that does not accept has ended if all its other connections ended',
    { opening: 'failed', hasLostConnection: true },
    'ended',
  ],
  ['one that does not answer is waited for', { opening: 'pending' }, 'undecided'],
  [
    'one that does not answer runs if an older connection stays open',
    { opening: 'pending', hasOlderConnection: true, watchedMs: SETTLE_MS },
    'running',
  ],
];

t.test('whether the process of an endpoint outlives the end of a connection', async (t2) => {
  for (const [name, evidence, life] of CASES)
    t2.equal(decideEndpointLife({ ...BASE, ...evidence }), life, name);
});

// Guards against half of a body that counts as whole because of a transfer coding that is not chunked.
t.test('a response shows its end by a length, by chunks or by having no body', async (t2) => {
  t2.ok(isFramed('GET', 200, { 'content-length': '5' }));
  t2.ok(isFramed('GET', 200, { 'transfer-encoding': 'chunked' }));
  t2.ok(isFramed('GET', 200, { 'transfer-encoding': 'gzip, Chunked' }));
  t2.ok(isFramed('HEAD', 200, {}));
  t2.ok(isFramed('GET', 204, {}));
  t2.ok(isFramed('GET', 304, {}));
  t2.notOk(isFramed('GET', 200, {}));
  t2.notOk(isFramed('GET', 200, { 'transfer-encoding': 'gzip' }));
  t2.notOk(isFramed('GET', 200, { 'transfer-encoding': 'chunked, gzip' }));
  t2.notOk(isFramed('GET', 200, { 'transfer-encoding': 'identity', 'content-length': '5' }));
});
