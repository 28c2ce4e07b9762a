import t from 'tap';
import {
  createNotRunError,
  Metrics,
  toId,
  type AccountId,
  type RequestId,
} from '@lovagearch/common';
import { errAsync, okAsync } from 'neverthrow';
import {
  createInstrumentedAdmission,
  createInstrumentedRunCoordinator,
} from './instrumentation.js';
import type { Admission, AdmissionRequest, RunCoordinator } from './types.js';

const account = toId<AccountId>('zamu');
const request = {
  requestId: toId<RequestId>('r1'),
  account,
  requestClass: 'standard',
} as AdmissionRequest;

t.test('queue times and rejections are recorded by account and class', async (t2) => {
  const metrics = Metrics.create();
  const refusal = createNotRunError('overloaded', 'no room', 1);
  const answers = [okAsync({ queuedMs: 40, release: () => undefined }), errAsync(refusal)];
  const admission: Admission = { admit: () => answers.shift()!, tryTakeRetry: () => false };
  const measured = createInstrumentedAdmission(admission, metrics);
  t2.match(await measured.admit(request), { value: { queuedMs: 40 } });
  t2.match(await measured.admit(request), { error: refusal });
  t2.notOk(measured.tryTakeRetry(account));
  t2.same(metrics.getCounters(), {
    'requests_admitted{account=zamu,class=standard}': 1,
    'requests_not_admitted{account=zamu,class=standard,type=overloaded}': 1,
    'retries_refused{account=zamu}': 1,
  });
  t2.match(metrics.getSummaries('queue_ms'), [{ count: 1, maxMs: 40 }]);
});

t.test('metric labels contain no idempotency key', async (t2) => {
  const metrics = Metrics.create();
  const grant = { account, key: 'secret-key', attempt: 'a', sendBeforeMs: 0 };
  const runs = {
    begin: () => okAsync({ type: 'granted', grant }),
    finish: () => okAsync(undefined),
  } as unknown as RunCoordinator;
  const measured = createInstrumentedRunCoordinator(runs, metrics);
  await measured.begin(account, 'secret-key', 'hash');
  t2.same(metrics.getCounters(), { 'runs_begun{account=zamu,type=granted}': 1 });
});
