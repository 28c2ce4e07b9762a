import t from 'tap';
import { TrafficMeter } from './trafficMeter.js';

t.test('the number of counted topics is bounded for arbitrary topics', async (t2) => {
  const meter = TrafficMeter.create();
  meter.recordSent('load.rows', 10);
  for (let index = 0; index < 1_000; index++) meter.recordReceived(`topic-${index}`, 1);
  t2.equal(meter.listTopics().length, 64);
  t2.same(meter.getTotals(), { sentBytes: 10, receivedBytes: 1_000 });
});
