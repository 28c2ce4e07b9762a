import t from 'tap';
import { isVmListDue } from './vmListPace.js';

t.test(
  'a steward with a lease always reads the VM list, so it never orders from an outdated one',
  async (t2) => {
    t2.ok(isVmListDue(3_850, true, 0));
  },
);

t.test('stewards without a lease do not read a large VM list in every interval', async (t2) => {
  t2.ok(isVmListDue(0, false, Infinity));
  t2.ok(isVmListDue(25, false, 4_000));
  t2.notOk(isVmListDue(3_850, false, 60_000));
  t2.ok(isVmListDue(3_850, false, 602_000));
});
