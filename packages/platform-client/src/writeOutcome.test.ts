import t from 'tap';
import { computeWriteOutcome } from './writeOutcome.js';

const createRow = (version: number, attemptId: string) => ({
  key: 'k',
  value: null,
  version,
  attemptId,
});

t.test('a write is reported as rejected only if it can no longer take effect', async (t2) => {
  t2.match(computeWriteOutcome(createRow(4, 'mine'), 3, 'mine'), { type: 'applied', version: 4 });
  t2.match(computeWriteOutcome(createRow(4, 'other'), 3, 'mine'), { type: 'rejected' });
  t2.match(
    computeWriteOutcome(createRow(3, 'other'), 3, 'mine'),
    { type: 'undecided' },
    'in flight',
  );
  t2.match(
    computeWriteOutcome(createRow(5, 'other'), 3, 'mine'),
    { type: 'undecided' },
    'possibly overwritten',
  );
  t2.match(computeWriteOutcome(null, 0, 'mine'), { type: 'undecided' }, 'row not created yet');
  t2.match(computeWriteOutcome(createRow(1, 'other'), undefined, 'mine'), { type: 'undecided' });
});
