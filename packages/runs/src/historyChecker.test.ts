import t from 'tap';
import { findRunViolation, type RunEvent } from './historyChecker.js';

const sent: RunEvent = { type: 'sent', runId: 'r', attempt: 'a' };
const recorded: RunEvent = { type: 'recorded', runId: 'r', digest: 'd1' };

// A checker that accepts broken histories would hide faults in every test that uses it.
t.test('the checker reports every kind of violation', async (t2) => {
  const again: RunEvent = { type: 'sent', runId: 'r', attempt: 'b' };
  const refused: RunEvent = { type: 'refused_not_run', runId: 'r', attempt: 'a' };
  const changed: RunEvent = { type: 'returned', runId: 'r', digest: 'd2' };
  t2.equal(findRunViolation([sent, again])?.type, 'sent_twice');
  t2.equal(findRunViolation([sent, sent])?.type, 'sent_twice');
  t2.equal(findRunViolation([sent, refused])?.type, 'not_run_was_sent');
  t2.equal(findRunViolation([refused, sent])?.type, 'not_run_was_sent');
  t2.equal(findRunViolation([sent, recorded, changed])?.type, 'answer_changed');
  t2.equal(findRunViolation([sent, changed])?.type, 'answer_changed');
});

// A checker that rejects correct histories would be disabled.
t.test('the checker accepts a history without a violation', async (t2) => {
  const other: RunEvent = { type: 'refused_not_run', runId: 'r', attempt: 'b' };
  const returned: RunEvent = { type: 'returned', runId: 'r', digest: 'd1' };
  t2.equal(findRunViolation([sent, other, recorded, returned]), undefined);
});
