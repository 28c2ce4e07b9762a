import t from 'tap';
import { Hedging } from './hedging.js';

const SEND = { service: 'chat', route: 'chat', endpointStart: 'i-1/1', expectedMs: 50 };

/** Counts the hedges of a service whose requests are all late, at 10 requests a second with a burst of 100. */
const countHedges = (hedging: Hedging, service: string): number => {
  let hedges = 0;
  const handleRequest = (nowMs: number) => {
    hedging.recordRequest(service, nowMs);
    if (!hedging.hasShare(service, nowMs)) return;
    hedging.takeShare(service, nowMs);
    hedges += 1;
  };
  for (let nowMs = 0; nowMs < 120_000; nowMs += 100) handleRequest(nowMs);
  for (let index = 0; index < 100; index += 1) handleRequest(120_000);
  return hedges;
};

// Guards against extra load beyond the share while everything is late.
t.test(
  'hedges stay within the share of a service, also in a burst of late requests',
  async (t2) => {
    const hedging = Hedging.create(new Map([['chat', 0.05], ['*', 0.02], ['app', 0]])); // prettier-ignore
    const chat = countHedges(hedging, 'chat');
    t2.ok(chat > 1_300 * 0.03 && chat <= 1_300 * 0.05, `${chat} of 1,300 requests`);
    const other = countHedges(hedging, 'other');
    t2.ok(other > 0 && other <= 1_300 * 0.02, `${other} of 1,300 requests of another service`);
    t2.equal(hedging.isEnabled('app'), false, 'a share of 0 excepts a service from the others');
  },
);

// Guards against a hedge delay that sinks with each hedge that wins, until every request is hedged.
t.test('cancelled first sends keep the delay of a route', async (t2) => {
  const hedging = Hedging.create(new Map([['chat', 0.1]]));
  t2.equal(hedging.getDelayMs(SEND, 0), undefined);
  for (let index = 0; index < 200; index += 1)
    hedging.recordResponse(SEND, 50 + (index % 40), index);
  const beforeMs = hedging.getDelayMs(SEND, 200) ?? 0;
  for (let index = 200; index < 1_000; index += 1) {
    const delayMs = hedging.getDelayMs(SEND, index) ?? 0;
    // One request in ten stands still; it is cancelled just after its delay.
    hedging.recordResponse(SEND, index % 10 === 0 ? delayMs + 1 : 50 + (index % 40), index);
  }
  const afterMs = hedging.getDelayMs(SEND, 1_000) ?? 0;
  t2.ok(afterMs >= beforeMs * 0.9 && afterMs <= beforeMs * 1.5, `${beforeMs} ms, ${afterMs} ms`);
});
