import t from 'tap';
import { GatewayMetrics } from './gatewayMetrics.js';

// Guards against an exception at the first choice of an endpoint that has reported no load.
t.test('the age of a load report is counted by service, an infinite one is not', async (t2) => {
  const metrics = GatewayMetrics.create();
  metrics.recordLoadAge('app', Number.POSITIVE_INFINITY);
  metrics.recordLoadAge('app', 70);
  const text = await metrics.render();
  t2.match(text, 'lovagearch_load_age_ms_bucket{le="50",service="app"} 0');
  t2.match(text, 'lovagearch_load_age_ms_bucket{le="100",service="app"} 1');
});
