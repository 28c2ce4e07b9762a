import t from 'tap';
import {
  findReverts,
  findRunPromiseViolations,
  findUnsettledCalls,
  type KeyedCall,
  type KeyedOutcome,
} from './runCheckers.js';

const notRun: KeyedOutcome = { type: 'refused', run: 'not_run', error: 'no_endpoint' };
const unknown: KeyedOutcome = { type: 'refused', run: 'unknown', error: 'outcome_unknown' };
const answered = (digest: string): KeyedOutcome => ({ type: 'answered', digest });
const createCall = (requestId: string, outcome: KeyedOutcome, key = 'k'): KeyedCall => ({
  key,
  requestId,
  outcome,
});
const createRun = (attempt: string, count = 1) => ({ idempotencyKey: 'k', attempt, count });

t.test('a history that keeps the promises is not reported', async (t2) => {
  const calls = [
    createCall('r1', notRun),
    createCall('r2', answered('a')),
    createCall('r3', unknown),
  ];
  t2.same(findRunPromiseViolations([createRun('r2')], calls), []);
  t2.same(findRunPromiseViolations([], [createCall('r1', notRun), createCall('r2', unknown)]), []);
});

t.test('a second run is reported, on one instance or on two', async (t2) => {
  const expected = [{ type: 'ran_more_than_once', key: 'k' }];
  const calls = [createCall('r1', answered('a'))];
  t2.same(findRunPromiseViolations([createRun('r1', 2)], calls), expected);
  t2.same(findRunPromiseViolations([createRun('r1'), createRun('r2')], calls), expected);
});

t.test('a run of a call that was refused with not_run is reported', async (t2) => {
  const expected = [{ type: 'not_run_has_run', key: 'k' }];
  const calls = [createCall('r1', notRun), createCall('r2', unknown)];
  t2.same(findRunPromiseViolations([createRun('r1')], calls), expected);
  t2.same(findRunPromiseViolations([createRun('lost')], [createCall('r1', notRun)]), expected);
});

t.test('a changed or invented answer is reported', async (t2) => {
  const calls = [createCall('r1', answered('a')), createCall('r2', answered('b'))];
  t2.match(findRunPromiseViolations([createRun('r1')], calls), [{ type: 'answer_changed' }]);
  t2.match(findRunPromiseViolations([], [createCall('r1', answered('a'))]), [
    { type: 'answered_without_run' },
  ]);
});

t.test('a key that stays in progress or refused after the faults is reported', async (t2) => {
  const running: KeyedOutcome = { type: 'refused', run: 'unknown', error: 'run_in_progress' };
  const calls = [
    createCall('r1', answered('a'), 'k1'),
    createCall('r2', unknown, 'k2'),
    createCall('r3', running, 'k3'),
    createCall('r4', notRun, 'k4'),
    createCall('r5', { type: 'lost' }, 'k5'),
  ];
  t2.same(
    findUnsettledCalls(calls).map(({ key }) => key),
    ['k3', 'k4', 'k5'],
  );
});

t.test('a revision that goes down is reported, a new process starts again', async (t2) => {
  const read = (node: string, process: number, revision: number) => ({ node, process, revision });
  t2.same(findReverts([read('n1', 1, 2), read('n2', 1, 1), read('n1', 1, 3)]), []);
  t2.same(findReverts([read('n1', 1, 2), read('n1', 2, 0), read('n1', 2, 2)]), []);
  t2.same(findReverts([read('n1', 1, 2), read('n1', 1, 1)]), ['n1']);
});
