import t from 'tap';
import { HOUSEKEEPING_INTERVAL_MS } from './constants.js';
import { EventLoopMonitor, readProcessorMs } from './eventLoopMonitor.js';

// Guards against requests that a late process reads, and sends on after their callers have given up.
t.test('requests that are read after a delay may have arrived at its beginning', async (t2) => {
  const monitor = EventLoopMonitor.create(0, 0);
  t2.equal(monitor.recordTick(HOUSEKEEPING_INTERVAL_MS + 20, 0).delayMs, 20);
  t2.equal(monitor.getReadDelayMs(300), 0, 'timers are always a little late');
  t2.equal(monitor.recordTick(2 * HOUSEKEEPING_INTERVAL_MS + 1_520, 0).delayMs, 1_500);
  t2.equal(monitor.getReadDelayMs(2 * HOUSEKEEPING_INTERVAL_MS + 1_530), 1_500);
  t2.equal(monitor.recordTick(3 * HOUSEKEEPING_INTERVAL_MS + 1_520, 0).delayMs, 0);
  t2.equal(monitor.getReadDelayMs(3 * HOUSEKEEPING_INTERVAL_MS + 1_530), 0);
});

t.test('a delay that goes on counts too', async (t2) => {
  const monitor = EventLoopMonitor.create(0, 0);
  t2.equal(monitor.getReadDelayMs(HOUSEKEEPING_INTERVAL_MS + 800), 800);
});

// Guards against a first request that counts as old because the process has waited for its addresses.
t.test('a wait before the first request is no delay', async (t2) => {
  const monitor = EventLoopMonitor.create(0, 0);
  monitor.start(8_000, 0);
  t2.equal(monitor.getReadDelayMs(8_010), 0);
  t2.equal(monitor.recordTick(8_000 + HOUSEKEEPING_INTERVAL_MS, 0).delayMs, 0);
});

// Guards against delays of which the log does not tell whether the process was busy or had no core.
t.test('a delay tells how much the process worked since the tick before', async (t2) => {
  const monitor = EventLoopMonitor.create(0, 70);
  t2.same(monitor.recordTick(HOUSEKEEPING_INTERVAL_MS + 900, 90), {
    delayMs: 900,
    processorMs: 20,
  });
  t2.same(monitor.recordTick(2 * HOUSEKEEPING_INTERVAL_MS + 1_800, 1_150), {
    delayMs: 900,
    processorMs: 1_060,
  });
});

// Guards against a meter that stands still or runs while the process waits.
t.test('processor time passes with work', async (t2) => {
  const startMs = readProcessorMs();
  const { user, system } = process.cpuUsage();
  while (process.cpuUsage({ user, system }).user < 20_000);
  t2.ok(readProcessorMs() - startMs >= 20);
});
