import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { processClock } from '@lovagearch/common';
import { EndpointTable } from '@lovagearch/endpoints';
import { ConnectionPool } from '@lovagearch/exchange';
import { getEndpointStartKey } from '../attempt.js';
import type { LogFields } from '../gatewayLog.js';
import { createRegistration } from '../testGateway.js';
import { LinkMonitor } from './linkMonitor.js';

const HOUSEKEEPING_MS = 50;

const listen = async (server: Server, port = 0): Promise<number> => {
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
};

const close = async (server: Server): Promise<void> => {
  server.close();
  await once(server, 'close');
};

/** Starts a monitor of one endpoint whose listener is closed. */
const startMonitor = async () => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => sockets.add(socket.resume()));
  const port = await listen(server);
  await close(server);
  const endpoints = EndpointTable.create();
  const addEndpoint = (id: string) => {
    const registration = createRegistration(id, port);
    endpoints.applyRecord({ ...registration, state: 'ready', weights: new Map() }, 0);
    return endpoints.findEndpoint(id)!;
  };
  const endpoint = addEndpoint('i-0');
  const lines: { readonly event: string; readonly fields: LogFields }[] = [];
  const gauges = new Map<string, number>();
  const log = (event: string, fields: LogFields) => lines.push({ event, fields });
  const pool = ConnectionPool.create();
  const links = LinkMonitor.create({
    pool,
    clusterState: { endpoints, evacuatedZones: new Set<string>() },
    clock: processClock,
    random: () => 0.5,
    log: { logStateChange: log, logRequest: log, logProblem: log, flush: () => undefined },
    metrics: {
      recordLinkProbe: () => undefined,
      setGauge: (name, value) => gauges.set(name, value),
    },
  });
  pool.onOpening = (endpointStart, progress) => links.recordOpening(endpointStart, progress);
  const timer = setInterval(() => links.check(0), HOUSEKEEPING_MS);
  const stop = () => {
    clearInterval(timer);
    links.stop();
    pool.closeAll();
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  const startKey = getEndpointStartKey(endpoint);
  const connect = () => pool.probe(startKey, endpoint.record.address);
  const waitForState = async (type: string) => {
    while (links.getState(endpoint).type !== type) await sleep(5);
  };
  const restart = () => listen(server, port);
  return { addEndpoint, connect, endpoint, gauges, lines, links, restart, stop, waitForState };
};

// Guards against callers that wait for an endpoint which a node can't reach, and against one that stays out of use.
t.test('a node whose peers hear an endpoint that refuses it has lost the link', async (t2) => {
  const { connect, endpoint, gauges, lines, links, restart, stop, waitForState } =
    await startMonitor();
  t2.teardown(stop);
  t2.equal(links.hasLost, false);
  const hearing = setInterval(() => endpoint.recordPeerBytes(processClock.nowMs()), 20);
  t2.teardown(() => clearInterval(hearing));
  const stopped: string[] = [];
  links.watchAttempt(endpoint, {
    stopConnecting: () => stopped.push('connecting'),
    stopUnreachable: (isLost) => stopped.push(isLost ? 'lost' : 'unanswered'),
  });
  await connect();
  await waitForState('lost');
  t2.equal(links.hasLost, true);
  t2.equal(links.isUsable(endpoint), false);
  t2.equal(links.canOpenConnections(endpoint), false);
  t2.equal(stopped.at(-1), 'lost');
  t2.ok(lines.some(({ event }) => event === 'endpoint_links_lost'));
  await restart();
  await waitForState('reachable');
  t2.equal(links.hasLost, false);
  t2.equal(links.isUsable(endpoint), true);
  links.check(0);
  t2.equal(gauges.get('unreachable_endpoints'), 0);
  const regained = lines.find(({ event }) => event === 'endpoint_links_regained');
  t2.match(regained?.fields, { service: 'app', endpoints: 1, causes: ['refused: 1'] });
});

// Guards against requests that use up their attempts at endpoints behind the same cut, before a node knows of it.
t.test('attempts stay until it is known whether other endpoints are in reach', async (t2) => {
  const { addEndpoint, connect, endpoint, links, stop, waitForState } = await startMonitor();
  t2.teardown(stop);
  const other = addEndpoint('i-1');
  const stopped: string[] = [];
  links.watchAttempt(endpoint, {
    stopConnecting: () => undefined,
    stopUnreachable: () => stopped.push('stopped'),
  });
  await connect();
  await waitForState('unanswered');
  links.check(0);
  t2.strictSame(stopped, []);
  links.recordBytes(getEndpointStartKey(other), 'app', processClock.nowMs());
  links.check(0);
  t2.strictSame(stopped, ['stopped']);
});

// Guards against a claim of a lost link where an endpoint has ended.
t.test('an endpoint that refuses and that nobody hears is not called a lost link', async (t2) => {
  const { connect, endpoint, lines, links, stop, waitForState } = await startMonitor();
  t2.teardown(stop);
  await connect();
  await waitForState('unanswered');
  t2.equal(links.isUsable(endpoint), false);
  const events = new Set(lines.map(({ event }) => event));
  t2.ok(events.has('endpoints_unanswered'));
  t2.notOk(events.has('endpoint_links_lost'));
});
