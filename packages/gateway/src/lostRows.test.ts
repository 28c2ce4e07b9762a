import { TableMirror } from '@lovagearch/mirror';
import t from 'tap';
import { LostRows } from './lostRows.js';

const KEYS = ['peer/n1', 'strikes/n1', 'crashes/n1', 'weights/m0', 'peer/n2'];
const ROWS = KEYS.map((key, index) => ({ key, version: index + 1, value: key }));

const createNode = () => {
  const sharedMirror = TableMirror.create('shared', { lostRowGraceMs: 1_000 });
  const written: string[] = [];
  const createWriter = (name: string) => ({
    publishAgain: (model = '') => written.push(`${name}${model}`),
  });
  const lostRows = LostRows.create({
    nodeName: 'n1',
    sharedMirror,
    strikePublisher: createWriter('strikes'),
    promptPartContainment: createWriter('crashes'),
    weightTargetTimes: createWriter('weights of '),
    listModels: () => ['m0'],
    publishAddressAgain: () => written.push('address'),
  });
  const read = (era: number, rows: typeof ROWS) => {
    sharedMirror.applyBatch({ rows, version: 9, era, isPartial: false, ageMs: 0 }, 0);
    lostRows.publishAgain();
  };
  return { read, written };
};

// Guards against addresses, strikes, crashes and times of weights that nobody writes again after a restore.
t.test('rows of a node that a restore has lost are written again once', async (t2) => {
  const { read, written } = createNode();
  read(1, ROWS);
  t2.strictSame(written, [], 'nothing is lost at the start');
  read(2, []);
  read(2, []);
  t2.strictSame(written, ['address', 'strikes', 'crashes', 'weights of m0']);
  read(3, []);
  t2.equal(written.length, 8, 'a second restore');
});

// Guards against writes of all nodes at each restore, which the store would refuse.
t.test('rows that the store still has are not written again', async (t2) => {
  const { read, written } = createNode();
  read(1, ROWS);
  read(2, ROWS);
  t2.strictSame(written, []);
});
