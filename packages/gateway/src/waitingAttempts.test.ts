import t from 'tap';
import { WaitingAttempts } from './waitingAttempts.js';

const createAttempt = (hasOutput: boolean) => {
  const attempt = {
    hasOutput,
    stops: 0,
    stopWaiting: () => {
      attempt.stops += 1;
    },
  };
  return attempt;
};

// Guards against requests that an endpoint queues and starts after the limit of its old weights.
t.test('attempts without output are stopped before their weights expire', async (t2) => {
  const waiting = WaitingAttempts.create();
  const old = createAttempt(false);
  const started = createAttempt(true);
  const current = createAttempt(false);
  const ended = createAttempt(false);
  waiting.add({ attempt: old, model: 'm0', weightVersion: 1 });
  waiting.add({ attempt: started, model: 'm0', weightVersion: 1 });
  waiting.add({ attempt: current, model: 'm0', weightVersion: 2 });
  waiting.add({ attempt: ended, model: 'm0', weightVersion: 1 })();
  const stopOverdue = (remainingMs: number) =>
    waiting.stopOverdue(
      (_model, version) => (version < 2 ? remainingMs : Number.POSITIVE_INFINITY),
      400,
    );
  t2.equal(stopOverdue(401), 0);
  t2.equal(stopOverdue(400), 1);
  t2.strictSame([old.stops, started.stops, current.stops, ended.stops], [1, 0, 0, 0]);
});
