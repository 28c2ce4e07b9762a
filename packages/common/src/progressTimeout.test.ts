import t from 'tap';
import { ProgressTimeout } from './progressTimeout.js';

const LONG_MS = 60_000;

const waitForAbort = (signal: AbortSignal): Promise<string> =>
  new Promise((resolve) => {
    const report = () =>
      resolve(signal.reason instanceof Error ? signal.reason.message : 'no reason');
    if (signal.aborted) report();
    else signal.addEventListener('abort', report);
  });

t.test('each limit aborts with its own reason', async (t2) => {
  const noResponse = ProgressTimeout.create({ firstMs: 1, gapMs: LONG_MS, totalMs: LONG_MS });
  t2.match(await waitForAbort(noResponse.signal), /no response within 1 ms/);
  const stalled = ProgressTimeout.create({ firstMs: LONG_MS, gapMs: 1, totalMs: LONG_MS });
  stalled.recordProgress();
  t2.match(await waitForAbort(stalled.signal), /no further part .* within 1 ms/);
  const endless = ProgressTimeout.create({ firstMs: LONG_MS, gapMs: LONG_MS, totalMs: 1 });
  t2.match(await waitForAbort(endless.signal), /no end .* within 1 ms/);
  for (const timeout of [noResponse, stalled, endless]) timeout.end();
});

// Guards against a transfer that a byte now and then keeps up for ever.
t.test('progress does not extend the limit of the whole transfer', async (t2) => {
  const timeout = ProgressTimeout.create({ firstMs: LONG_MS, gapMs: LONG_MS, totalMs: 20 });
  const progress = setInterval(() => timeout.recordProgress(), 1);
  t2.match(await waitForAbort(timeout.signal), /no end/);
  clearInterval(progress);
  timeout.end();
});

t.test('nothing is aborted after the end', async (t2) => {
  const timeout = ProgressTimeout.create({ firstMs: 1, gapMs: 1, totalMs: 1 });
  timeout.end();
  await new Promise((resolve) => {
    setTimeout(resolve, 5);
  });
  t2.equal(timeout.signal.aborted, false);
});
