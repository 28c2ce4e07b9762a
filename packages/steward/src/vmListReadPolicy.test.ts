import t from 'tap';
import { shouldReadVmList } from './vmListReadPolicy.js';

t.test(
  'a steward with a lease always reads the VM list, so it never orders from an outdated one',
  async (t2) => {
    t2.ok(shouldReadVmList(3_850, true, 0));
  },
);

t.test('stewards without a lease do not read a large VM list in every interval', async (t2) => {
  t2.ok(shouldReadVmList(0, false, Infinity));
  t2.ok(shouldReadVmList(25, false, 4_000));
  t2.notOk(shouldReadVmList(3_850, false, 60_000));
  t2.ok(shouldReadVmList(3_850, false, 602_000));
});
