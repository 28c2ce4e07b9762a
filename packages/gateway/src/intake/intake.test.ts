import t from 'tap';
import { AcceptBacklog } from './acceptBacklog.js';
import { MAX_ACCEPT_PRECEDENCE_MS, MAX_STARTS_PER_TURN } from './constants.js';
import { LoopTurns } from './loopTurns.js';
import { StartQueue } from './startQueue.js';

const TURN_MS = 20;

// Guards against requests that count as new because no turn of the event loop is long by itself.
t.test(
  'connections of a burst are dated back over the turns in which others were accepted',
  async (t2) => {
    const turns = LoopTurns.create();
    const backlog = AcceptBacklog.create();
    for (let turn = 0; turn < 50; turn += 1) {
      const nowMs = turn * TURN_MS;
      t2.equal(backlog.recordConnection(nowMs, turns.getReadDelayMs(nowMs)), 0);
      turns.recordTurn(nowMs);
      backlog.recordTurn();
    }
    t2.ok(backlog.isPossible, 'others may wait behind the last one');
    turns.recordTurn(50 * TURN_MS);
    backlog.recordTurn();
    t2.notOk(backlog.isPossible, 'a turn without a connection shows that none waits');
    t2.equal(backlog.recordConnection(51 * TURN_MS, turns.getReadDelayMs(51 * TURN_MS)), 980);
  },
);

// Guards against a delay that is counted for bytes that were read as soon as they arrived.
t.test(
  'bytes may have waited since the turn before the last, and not while the loop was idle',
  async (t2) => {
    const turns = LoopTurns.create();
    t2.equal(turns.getReadDelayMs(1_000), 0);
    turns.recordTurn(1_000);
    t2.equal(turns.getReadDelayMs(1_020), 20);
    turns.recordTurn(1_040);
    turns.recordTurn(1_080);
    t2.equal(turns.getReadDelayMs(1_100), 60);
    turns.recordIdle();
    t2.equal(turns.getReadDelayMs(5_000), 0);
  },
);

const queueStarts = (queue: StartQueue, count: number, queuedAtMs: number): number[] => {
  const begun: number[] = [];
  for (let index = 0; index < count; index += 1)
    queue.add({ queuedAtMs, fromTurn: 2, begin: () => begun.push(index) });
  return begun;
};

// Guards against a burst of hundreds of requests that begin in one turn, in which no close and no limit is noticed.
t.test('few of many requests begin in a turn, in the order of their arrival', async (t2) => {
  const queue = StartQueue.create();
  const begun = queueStarts(queue, 300, 0);
  const take = (turn: number) => {
    for (const start of queue.take({ turn, nowMs: turn, hasBacklog: false })) start.begin();
  };
  take(1);
  t2.strictSame(begun, [], 'a close that arrived together with them is read first');
  for (let turn = 2; queue.size > 0; turn += 1) {
    take(turn);
    t2.ok(begun.length <= (turn - 1) * MAX_STARTS_PER_TURN);
  }
  t2.strictSame(begun, [...Array(300).keys()]);
});

// Guards against requests that wait for as long as callers connect.
t.test('connections that wait are accepted first, for a short time', async (t2) => {
  const queue = StartQueue.create();
  queueStarts(queue, 2, 0);
  const take = (nowMs: number) => queue.take({ turn: nowMs, nowMs, hasBacklog: true }).length;
  t2.equal(take(MAX_ACCEPT_PRECEDENCE_MS - 1), 0);
  t2.equal(take(MAX_ACCEPT_PRECEDENCE_MS), 2);
});

// Guards against the start of requests whose callers left while they waited.
t.test('a request that is removed does not begin', async (t2) => {
  const queue = StartQueue.create();
  const start = { queuedAtMs: 0, fromTurn: 0, begin: () => t2.fail('has begun') };
  queue.add(start);
  t2.equal(queue.remove(start), true);
  t2.equal(queue.remove(start), false);
  t2.strictSame(queue.take({ turn: 5, nowMs: 5, hasBacklog: false }), []);
});
