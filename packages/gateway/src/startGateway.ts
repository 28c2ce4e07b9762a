import { SlidingWindowRetryBudget } from '@lovagearch/admission';
import { createRandom, getErrorMessage, processClock } from '@lovagearch/common';
import { ConnectionPool } from '@lovagearch/exchange';
import { type FollowEvent, MirrorFollower, TableMirror } from '@lovagearch/mirror';
import { TransferSlowdownTracker } from '@lovagearch/reuse';
import { createSuspensionClock, OrderLease, RolloutCoordinator } from '@lovagearch/rollout';
import { Beliefs, LEASE_KEY, PEER_PREFIX } from './beliefs.js';
import { CallerServer } from './callerServer.js';
import {
  ANNOUNCE_RETRY_MS,
  BODY_MEMORY_SHARE,
  DRAIN_ACCEPT_MS,
  DRAIN_END_MARGIN_MS,
  DRAIN_MIN_MS,
  HOUSEKEEPING_MS,
  MAX_PACE_FACTOR,
  READER_WAIT_MS,
  SHARED_TABLE,
  STRIKE_PUBLISH_MS,
  TABLE_RELAY_MS,
  UNPACED_NODES,
} from './constants.js';
import { createDecisionLog } from './decisionLog.js';
import type { GatewayContext, ServingPhase } from './gatewayContext.js';
import { GatewayMetrics } from './gatewayMetrics.js';
import { LoadSharing } from './loadSharing.js';
import { startMetricsServer, startPeerServer, startReadinessServer } from './managementServer.js';
import { createPeerSource, createRelaySource, createTableRelaySource } from './peerExchange.js';
import { BodyMemory } from './requestBody.js';
import { StoreWatch } from './storeWatch.js';
import { StrikePublisher } from './strikePublisher.js';
import { TableRelay } from './tableRelay.js';
import type { GatewayPorts, GatewaySettings } from './types.js';

const BYTES_PER_MB = 1_048_576;

/** Times of following a table, in milliseconds, as `FollowOptions` has them for a small deployment. */
interface FollowTimes {
  readonly waitMs: number;
  readonly paceMs: number;
  readonly retryMs: number;
  readonly peerAfterMs: number;
}

/** Changes of the configuration are rare and urgent: a long wait, and no pause after one. */
const OPERATOR_FOLLOWING = { waitMs: 2_000, paceMs: 100, retryMs: 250, peerAfterMs: 1_000 };
/** Heartbeats change the table all the time, and each call is billed: changes are read together. */
const ENDPOINT_FOLLOWING = { waitMs: 1_500, paceMs: 700, retryMs: 250, peerAfterMs: 1_500 };
const SHARED_FOLLOWING = { waitMs: 3_000, paceMs: 300, retryMs: 400, peerAfterMs: 4_000 };

/** Spaces the calls to the store out where many nodes share its rates. */
const computePaceMs = (paceMs: number, nodes: number): number =>
  paceMs * Math.min(MAX_PACE_FACTOR, Math.max(1, nodes / UNPACED_NODES));

/** A running gateway process. */
export interface Gateway {
  /** Shuts down within the grace period, without cutting off a request that can end in it. */
  readonly drain: (reason: string) => Promise<void>;
  /** Logs what a changed settings file says; addresses and bounds hold until the next start. */
  readonly recordReload: (result: 'changed' | 'rejected' | 'unchanged', faults: string) => void;
  readonly callerPort: number;
}

/**
 * Starts the gateway: it follows the store's tables, serves callers as soon as it knows a configuration
 * and an endpoint, and takes part in orders to endpoints.
 *
 * @param readinessPath path of the balancer's question
 */
export const startGateway = async (
  settings: GatewaySettings,
  ports: GatewayPorts,
  readinessPath: string,
): Promise<Gateway> => {
  const clock = processClock;
  const random = createRandom(Math.floor(Math.random() * 2 ** 32));
  const metrics = GatewayMetrics.create();
  const log = createDecisionLog(settings.nodeName, clock, (lines) =>
    metrics.recordDroppedLines(lines),
  );
  const beliefs = Beliefs.create(ports.rows, clock, log);
  const operatorMirror = TableMirror.create(ports.rows.operatorTable);
  const endpointMirror = TableMirror.create(ports.rows.endpointTable);
  const sharedMirror = TableMirror.create(SHARED_TABLE);
  operatorMirror.addListener((row) => beliefs.applyOperatorRow(row));
  endpointMirror.addListener((row) => beliefs.applyEndpointRow(row));
  sharedMirror.addListener((row) => beliefs.applySharedRow(row));

  const ownPeerAddress = `${settings.peerAddress.host}:${settings.peerAddress.port}`;
  const tableRelaySource = createTableRelaySource();
  const peers = createPeerSource(
    tableRelaySource,
    () => {
      const known = new Set([...settings.seeds, ...beliefs.listPeerAddresses()]);
      known.delete(ownPeerAddress);
      return [...known];
    },
    random,
  );
  const tableRelay = TableRelay.create({
    nodeName: settings.nodeName,
    zone: settings.zone,
    beliefs,
    mirrors: [operatorMirror, endpointMirror, sharedMirror],
    relay: tableRelaySource,
    random,
    clock,
    log,
  });
  const onFollowEvent = (event: FollowEvent) => {
    if (event.type === 'store_lost') beliefs.recordStoreLost();
    if (event.type === 'store_regained') beliefs.recordStoreRegained();
    const { type, ...fields } = event;
    log.recordChange(type, fields);
  };
  const createFollower = (
    mirror: TableMirror,
    { paceMs, waitMs, retryMs, peerAfterMs }: FollowTimes,
  ) =>
    MirrorFollower.create({
      mirror,
      source: ports.tables,
      peers,
      clock,
      options: {
        retryMs,
        peerAfterMs,
        getPaceMs: () => {
          // Few nodes read for all others, so they read at the full pace.
          if (tableRelay.isReader) return paceMs;
          return tableRelay.maxAgeMs > 0 ? TABLE_RELAY_MS : computePaceMs(paceMs, beliefs.nodes);
        },
        getWaitMs: () => (tableRelay.isReader ? Math.min(waitMs, READER_WAIT_MS) : waitMs),
        getRelayMaxAgeMs: () => tableRelay.maxAgeMs,
      },
      onEvent: onFollowEvent,
    });
  const endpointFollower = createFollower(endpointMirror, ENDPOINT_FOLLOWING);
  const followers = [
    createFollower(operatorMirror, OPERATOR_FOLLOWING),
    endpointFollower,
    createFollower(sharedMirror, SHARED_FOLLOWING),
  ];

  let phase: ServingPhase = 'serving';
  const { bounds } = settings;
  const retryBounds = {
    ratio: bounds.retryRatio,
    slack: bounds.retrySlack,
    windowS: bounds.retryWindowS,
  };
  const budgets = new Map<string, SlidingWindowRetryBudget>();
  const strikes = StrikePublisher.create(settings.nodeName, ports.shared, log);
  const suspensionClock = createSuspensionClock(clock, Date.now);
  const storeWatch = StoreWatch.create({
    nodeName: settings.nodeName,
    beliefs,
    client: ports.cacheStores,
    relay: createRelaySource((name) => beliefs.findPeer(name)?.address),
    random,
    clock: suspensionClock,
    log,
  });
  const context: GatewayContext = {
    settings,
    headers: ports.headers,
    beliefs,
    pool: ConnectionPool.create(),
    bodyMemory: BodyMemory.create(settings.memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE),
    clock,
    random,
    log,
    metrics,
    strikes,
    suspensionClock,
    transfers: TransferSlowdownTracker.create(),
    findStoreIndex: (address) => storeWatch.findIndex(address),
    areHeartbeatsCurrent: () =>
      endpointFollower.isStoreReachable &&
      endpointMirror.getAgeMs(clock.nowMs()) <
        ENDPOINT_FOLLOWING.waitMs + computePaceMs(ENDPOINT_FOLLOWING.paceMs, beliefs.nodes),
    getRetryBudget: (service) => {
      const known = budgets.get(service);
      if (known !== undefined) return known;
      const created = SlidingWindowRetryBudget.create(retryBounds);
      budgets.set(service, created);
      return created;
    },
    getPhase: () => phase,
  };
  const server = CallerServer.create(context);
  operatorMirror.addListener(() => {
    if (beliefs.rules !== undefined) server.applyLimits(beliefs.rules.limits);
  });

  const lease = OrderLease.create({
    holder: `${settings.nodeName}/${process.pid}/${Date.now()}`,
    store: ports.lease,
    clock,
    suspensionClock,
    minHandoverMs: bounds.orderTurnMs,
    random,
    onChange: ({ type, ...fields }) => log.recordChange(`order_lease_${type}`, fields),
  });
  sharedMirror.addListener((row) => {
    if (row.key !== LEASE_KEY || row.value === undefined) return;
    const value = ports.rows.decodeSharedValue(row.value);
    const attemptId =
      typeof value === 'object' && value !== null && 'attemptId' in value
        ? String(value.attemptId)
        : null;
    lease.updateRow({ value, version: row.version, attemptId });
  });
  const rollout = RolloutCoordinator.create({
    lease,
    client: ports.orders,
    clock,
    random,
    listEndpoints: () =>
      [...beliefs.endpoints.listAll()]
        .map(({ record }) => record)
        .filter(({ state, weights }) => state === 'ready' && weights.size > 0),
    listTargets: () => beliefs.listWeightTargets(),
    timeLimitMs: bounds.weightsMs,
    onEvent: (event) => {
      const { type, ...fields } = event;
      const result = 'result' in event ? event.result.type : undefined;
      const detail =
        'result' in event && 'reason' in event.result ? event.result.reason : undefined;
      log.recordChange(`order_${type}`, { ...fields, result, detail });
    },
    onWeightsReported: (endpoint, weights) => {
      for (const [model, version] of weights) beliefs.recordWeights(endpoint.id, model, version);
    },
  });

  const isReady = () =>
    phase === 'serving' && beliefs.rules !== undefined && beliefs.endpoints.size > 0;
  const management = [
    await startReadinessServer(settings.readinessAddress, readinessPath, isReady),
    await startPeerServer(
      settings.peerAddress,
      [operatorMirror, endpointMirror, sharedMirror],
      clock,
      (address) => storeWatch.findIndex(address),
      suspensionClock,
    ),
    await startMetricsServer(
      { host: settings.callerAddress.host, port: settings.metricsPort },
      metrics,
    ),
  ];
  const loadSharing = await LoadSharing.start({
    nodeName: settings.nodeName,
    zone: settings.zone,
    address: settings.loadAddress,
    beliefs,
    clock,
    log,
  });
  await server.listen(settings.callerAddress);
  log.recordChange('started', {
    zone: settings.zone,
    region: settings.region,
    callerAddress: `${settings.callerAddress.host}:${server.getPort()}`,
    memoryMb: settings.memoryMb,
  });

  const announce = async () => {
    const isWritten = await ports.shared.write(`${PEER_PREFIX}${settings.nodeName}`, {
      address: ownPeerAddress,
      loadAddress: `${settings.loadAddress.host}:${settings.loadAddress.port}`,
      zone: settings.zone,
    });
    log.recordChange('announced', { isWritten });
    return isWritten;
  };
  let isAnnounced = false;
  let announceAtMs = clock.nowMs();
  const housekeeping = setInterval(() => {
    beliefs.removeLapsed();
    metrics.setGauge('active_requests', server.active);
    metrics.setGauge('endpoints', beliefs.endpoints.size);
    metrics.setGauge('nodes', beliefs.nodes);
    metrics.setGauge('connections_opened', context.pool.opened);
    metrics.setGauge('configuration_version', beliefs.rules?.version ?? 0);
    if (isAnnounced || clock.nowMs() < announceAtMs) return;
    announceAtMs = clock.nowMs() + ANNOUNCE_RETRY_MS;
    announce()
      .then((isWritten) => {
        isAnnounced = isWritten;
      })
      .catch((error: unknown) =>
        log.recordChange('announce_failed', { reason: getErrorMessage(error) }),
      );
  }, HOUSEKEEPING_MS);
  const publishing = setInterval(() => {
    strikes.publish().catch((error: unknown) => {
      log.recordChange('strikes_not_published', { reason: getErrorMessage(error) });
    });
  }, STRIKE_PUBLISH_MS);
  const logCrash = (error: unknown) => {
    log.recordProblem('loop_crashed', { reason: getErrorMessage(error) });
  };
  for (const follower of followers) follower.run().catch(logCrash);
  rollout.run().catch(logCrash);
  storeWatch.run().catch(logCrash);
  tableRelay.run().catch(logCrash);

  const drain = async (reason: string): Promise<void> => {
    if (phase !== 'serving') return;
    const startMs = clock.nowMs();
    phase = 'draining';
    rollout.stop();
    storeWatch.stop();
    tableRelay.stop();
    log.recordChange('stopping', { reason, active: server.active });
    const waitUntil = async (isDone: () => boolean) => {
      while (!isDone())
        await new Promise((resolve) => {
          setTimeout(resolve, HOUSEKEEPING_MS / 4);
        });
    };
    const getElapsedMs = () => clock.nowMs() - startMs;
    await waitUntil(() => getElapsedMs() >= DRAIN_ACCEPT_MS);
    phase = 'closing';
    await waitUntil(() => getElapsedMs() >= DRAIN_MIN_MS);
    server.stopListening();
    server.closeIdle();
    await waitUntil(
      () => server.active === 0 || getElapsedMs() >= bounds.graceMs - DRAIN_END_MARGIN_MS,
    );
    log.recordChange('stopped', { active: server.active, elapsedMs: Math.round(getElapsedMs()) });
    for (const follower of followers) follower.stop();
    clearInterval(housekeeping);
    clearInterval(publishing);
    loadSharing.stop();
    await Promise.all(management.map((managementServer) => managementServer.close()));
    log.flush();
  };
  const recordReload: Gateway['recordReload'] = (result, faults) =>
    log.recordChange('reloaded', { result, faults });
  return { drain, recordReload, callerPort: server.getPort() };
};
