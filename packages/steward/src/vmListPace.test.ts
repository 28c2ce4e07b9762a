import t from 'tap';
import { isVmListDue } from './vmListPace.js';

t.test('a steward that takes a lease does not order from an old VM list', async (t2) => {
  t2.ok(isVmListDue(3_850, true, 0));
});

t.test('stewards without a lease do not read a large VM list in each interval', async (t2) => {
  t2.ok(isVmListDue(0, false, Infinity));
  t2.ok(isVmListDue(25, false, 4_000));
  t2.notOk(isVmListDue(3_850, false, 60_000));
  t2.ok(isVmListDue(3_850, false, 602_000));
});
