import t from 'tap';
import { ManualClock } from '@lovagearch/common';
import { LogLineLimit } from './logLineLimit.js';

// Guards against a burst of requests that hides a lost store or an applied configuration from the log.
t.test('lines of one limit take none of another', async (t2) => {
  const clock = ManualClock.create();
  const suppressed: number[] = [];
  const requestLimit = LogLineLimit.create(2, clock, (lines) => suppressed.push(lines));
  const stateLimit = LogLineLimit.create(2, clock, (lines) => suppressed.push(lines));
  const taken = [1, 2, 3, 4, 5].map(() => requestLimit.tryTake());
  t2.strictSame(taken, [true, true, false, false, false]);
  t2.ok(stateLimit.tryTake());
  clock.addMs(1_000);
  t2.ok(requestLimit.tryTake());
  t2.strictSame(suppressed, [3]);
});
