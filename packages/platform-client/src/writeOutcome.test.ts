import t from 'tap';
import { computeWriteOutcome } from './writeOutcome.js';

const createRow = (version: number, attemptId: string) => ({
  key: 'k',
  value: null,
  version,
  attemptId,
});

t.test('a write is called rejected only if it can never take effect', async (t2) => {
  t2.match(computeWriteOutcome(createRow(4, 'mine'), 3, 'mine'), { type: 'applied', version: 4 });
  t2.match(computeWriteOutcome(createRow(4, 'other'), 3, 'mine'), { type: 'rejected' });
  t2.match(
    computeWriteOutcome(createRow(3, 'other'), 3, 'mine'),
    { type: 'undecided' },
    'in flight',
  );
  t2.match(computeWriteOutcome(createRow(5, 'other'), 3, 'mine'), { type: 'undecided' }, 'covered');
  t2.match(computeWriteOutcome(null, 0, 'mine'), { type: 'undecided' }, 'not yet there');
  t2.match(computeWriteOutcome(createRow(1, 'other'), undefined, 'mine'), { type: 'undecided' });
});
