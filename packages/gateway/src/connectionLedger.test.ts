import t from 'tap';
import { deriveCallerLimits } from './callerLimits.js';
import { ConnectionLedger, type ConnectionUse, type LedgerEntry } from './connectionLedger.js';
import { CONNECTION_BYTES, GUARANTEED_CONNECTIONS } from './constants.js';

const MAX_CONNECTIONS = 20;

const createEntry = (
  use: ConnectionUse,
  { listener = 'callers', address = 'a', heldBytes = 1, progressAtMs = 0 } = {},
): LedgerEntry => ({ listener, address, heldBytes, progressAtMs, getUse: () => use });

const createLedger = (entries: readonly LedgerEntry[]): ConnectionLedger<LedgerEntry> => {
  const ledger = ConnectionLedger.create({ maxConnections: MAX_CONNECTIONS, memoryBytes: 1e6 });
  for (const entry of entries) ledger.add(entry);
  return ledger;
};

// Guards against a request that is cut off while clients hold memory with requests that nobody works for.
t.test('the memory of a request that is being served is not freed', async (t2) => {
  const uses = ['working', 'waiting', 'incomplete', 'unread'] as const;
  const ledger = createLedger(uses.map((use) => createEntry(use, { heldBytes: 100 })));
  const order: (ConnectionUse | undefined)[] = [];
  for (;;) {
    const victim = ledger.chooseFreed(undefined, true);
    if (victim === undefined) break;
    order.push(victim.getUse());
    ledger.remove(victim);
  }
  t2.strictSame(order, ['unread', 'incomplete', 'waiting']);
});

// Guards against one address that holds most of the memory while small ones give way.
t.test('the address that holds most gives way first, with its largest connection', async (t2) => {
  const largest = createEntry('incomplete', { address: 'greedy', heldBytes: 300 });
  const ledger = createLedger([
    createEntry('incomplete', { address: 'modest', heldBytes: 400 }),
    createEntry('incomplete', { address: 'greedy', heldBytes: 200 }),
    largest,
  ]);
  t2.equal(ledger.chooseFreed(undefined, true), largest);
});

// Guards against silent callers that take the connections of the load balancer's readiness calls.
t.test('a full listener gives way to one without connections, and not the reverse', async (t2) => {
  const ledger = createLedger([
    ...Array.from({ length: MAX_CONNECTIONS - GUARANTEED_CONNECTIONS }, () =>
      createEntry('working'),
    ),
    ...Array.from({ length: GUARANTEED_CONNECTIONS }, () =>
      createEntry('idle', { listener: 'readiness' }),
    ),
  ]);
  t2.notOk(ledger.hasConnection);
  t2.equal(ledger.chooseDisplaced('callers'), undefined);
  t2.equal(ledger.chooseDisplaced('peers')?.listener, 'callers');
  t2.equal(ledger.chooseDisplaced('readiness')?.listener, 'readiness');
});

// Guards against sums that drift from what is held, which would refuse requests of an idle process.
t.test('nothing is held after all connections have closed', async (t2) => {
  const entries = [createEntry('idle'), createEntry('working')];
  const ledger = createLedger(entries);
  ledger.setHeldBytes(entries[1]!, 500);
  t2.equal(ledger.heldBytes, 2 * CONNECTION_BYTES + 501);
  for (const entry of entries) ledger.remove(entry);
  ledger.setHeldBytes(entries[1]!, 0);
  t2.equal(ledger.heldBytes, 0);
});

// Guards against a process that has no descriptors left for endpoints, and against limits of 0 in a small one.
t.test('limits leave room for endpoints and are never 0', async (t2) => {
  const bytes = { memoryBytes: 200 * 1_048_576, heapBytes: 176 * 1_048_576 };
  t2.equal(deriveCallerLimits({ ...bytes, maxFds: 1_024 }).maxConnections, 412);
  const smallest = deriveCallerLimits({ memoryBytes: 1, heapBytes: 1, maxFds: 1 });
  t2.ok(smallest.maxConnections > GUARANTEED_CONNECTIONS);
  t2.ok(smallest.memoryBytes > 0 && smallest.bodyMemoryBytes > 0);
});
