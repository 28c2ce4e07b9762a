import t from 'tap';
import { computeAt, computeFit, getMedian } from './slopesMeasure.js';

t.test('a fit that hides scatter would pass for a law', async (t2) => {
  const points = [1, 2, 3, 4].map((x) => ({ x, y: 5 + 2 * x }));
  const fit = computeFit(points);
  t2.same([fit.base, fit.slope, fit.r2], [5, 2, 1]);
  t2.equal(computeAt(fit, 10), 25);
  const scattered = computeFit([...points, { x: 5, y: 0 }]);
  t2.ok(scattered.r2 < 0.5);
});

t.test('one slow run does not move a median', async (t2) => {
  t2.equal(getMedian([3, 1, 1_000, 2, 4]), 3);
});
