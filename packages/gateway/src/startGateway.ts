import { getHeapStatistics } from 'node:v8';
import { SlidingWindowRetryBudget } from '@lovagearch/admission';
import { MemoryBudget } from '@lovagearch/bounded-http';
import { AddressUnavailableError, getErrorMessage, processClock } from '@lovagearch/common';
import { ConnectionPool, EventIdHistory } from '@lovagearch/exchange';
import {
  type MirrorEvent,
  type MirrorFollower,
  StoreClock,
  StoreEra,
  TableMirror,
} from '@lovagearch/mirror';
import { RelayPeers } from '@lovagearch/relaying';
import { TransferSlowdownTracker } from '@lovagearch/reuse';
import { createSuspensionClock, OrderLease, RolloutCoordinator } from '@lovagearch/rollout';
import {
  ClusterState,
  computeMinOutageMs,
  LEASE_KEY,
  PEER_PREFIX,
  readAttemptId,
} from './clusterState.js';
import { deriveCallerLimits } from './callerLimits.js';
import { CallerServer } from './callerServer.js';
import {
  ANNOUNCE_RETRY_DELAY_MS,
  SLOW_CALLER_MEMORY_SHARE,
  BODY_MEMORY_SHARE,
  HELD_BODY_SHARE,
  MAX_HELD_CALLS,
  ENDPOINT_TABLE_FALLBACK_AGE_MS,
  EXPIRY_GRACE_MS,
  HOUSEKEEPING_INTERVAL_MS,
  LOGGED_EVENT_LOOP_DELAY_MS,
  SHARED_TABLE_FALLBACK_AGE_MS,
  SHARED_TABLE,
  STRIKE_PUBLISH_INTERVAL_MS,
} from './constants.js';
import { EventLoopMonitor, readProcessorMs } from './eventLoopMonitor.js';
import { RequestIntake } from './intake/requestIntake.js';
import { ConnectionAdmission } from './connectionAdmission.js';
import { findRejectionLimit } from './brittleness/brittleEndpoints.js';
import { BrittleServices } from './brittleness/brittleServices.js';
import { BrittleWaits } from './brittleness/brittleWaits.js';
import { logColdChanges } from './coldEndpoints.js';
import { createTableFollower } from './createTableFollower.js';
import { createGatewayLog } from './gatewayLog.js';
import { explainPlacement } from './explainPlacement.js';
import type { GatewayContext, Shutdown } from './gatewayContext.js';
import { GatewayMetrics } from './gatewayMetrics.js';
import { Hedging } from './hedging.js';
import { openGatewayListeners } from './openGatewayListeners.js';
import {
  createPeerSource,
  createCacheStoreRelaySource,
  createTableRelaySource,
} from './peerExchange.js';
import { createContinuitySource } from './peerContinuity.js';
import { OutageCheck } from './outageCheck.js';
import { getEndpointStartKey } from './attempt.js';
import { recordIdleConnectionLost, recordOutlivedAnswers } from './attemptFeedback.js';
import { LinkMonitor } from './links/linkMonitor.js';
import { HeldCalls } from './heldCalls.js';
import { LostRows } from './lostRows.js';
import { listSharingNodes } from './loadSharing.js';
import { OriginSharing } from './originSharing.js';
import { OverloadState } from './overloadState.js';
import { PromptPartContainment } from './promptPartContainment.js';
import { RecentAnswers } from './recentAnswers.js';
import { recordPeerLinks } from './relay/relaying.js';
import { RouteDurations } from './routeDurations.js';
import { createShutdownPlan } from './shutdownPlan.js';
import { CacheStoreWatcher } from './cacheStoreWatcher.js';
import { StreamOrigins } from './streamOrigins.js';
import { StrikePublisher } from './strikePublisher.js';
import { TableRelay } from './tableRelay.js';
import {
  computeMaxRelayedAgeMs,
  computeOverdueAgeMs,
  createEndpointTableTiming,
  createOperatorTableTiming,
  createSharedTableTiming,
} from './tableTiming.js';
import type { GatewayDependencies, GatewaySettings } from './types.js';
import { createVersionParts } from './createVersionParts.js';
import { WaitingAttempts } from './waitingAttempts.js';
import { WeightTargetTimes } from './weightTargetTimes.js';

const BYTES_PER_MB = 1_048_576;

/** A running gateway process. */
export interface Gateway {
  /**
   * Shuts down within the grace period; requests that finish in this time are not cut off. Repeated calls don't
   * change the shutdown and return its promise.
   *
   * @param requestedAtMs reading of the process's clock from which the grace period runs, by default now
   */
  readonly drain: (reason: string, requestedAtMs?: number) => Promise<void>;
  /** Logs the result of reloading the settings file; addresses and bounds change only on the next start. */
  readonly recordReload: (result: 'changed' | 'rejected' | 'unchanged', faults: string) => void;
  readonly callerPort: number;
}

/**
 * Starts the gateway. It follows the store's tables, serves callers as soon as it knows a configuration
 * and an endpoint, and takes part in sending orders to endpoints.
 *
 * @param readinessPath path of the load balancer's readiness check
 * @throws {AddressUnavailableError} if an address that callers, the load balancer or peers use can't be obtained
 * @example
 * const gateway = await startGateway(settings, dependencies, '/ready');
 * await gateway.drain('SIGTERM');
 */
export const startGateway = async (
  settings: GatewaySettings,
  dependencies: GatewayDependencies,
  readinessPath: string,
): Promise<Gateway> => {
  const clock = processClock;
  const startMs = clock.nowMs();
  let addressesHeldAtMs = startMs;
  const { random, responseLimits } = dependencies;
  const metrics = GatewayMetrics.create();
  const log = createGatewayLog(settings.nodeName, clock, (lines) =>
    metrics.recordDroppedLines(lines),
  );
  const storeClock = StoreClock.create(clock);
  const clusterState = ClusterState.create(dependencies.rows, clock, storeClock, settings, log);
  const storeEra = dependencies.storeEra ?? StoreEra.create(clock);
  const createMirror = (table: string, lostRowGraceMs = settings.bounds.contactLimitMs) =>
    TableMirror.create(table, {
      storeClock,
      storeEra,
      lostRowGraceMs,
      interruptionMs: computeMinOutageMs(settings.heartbeatMs),
      onEraChange: (change) => log.logStateChange('copy_restored', { table, ...change }),
      onLostRowsRemoved: (rows) => log.logStateChange('lost_rows_removed', { table, rows }),
      onRowFault: ({ key, version }, error) => {
        const reason = getErrorMessage(error);
        log.logStateChange('row_rejected', { kind: table, key, rowVersion: version, reason });
      },
    });
  const operatorMirror = createMirror(dependencies.rows.operatorTable);
  const endpointMirror = createMirror(dependencies.rows.endpointTable, EXPIRY_GRACE_MS);
  const sharedMirror = createMirror(SHARED_TABLE);
  operatorMirror.addListener((row, committedAfterMs) =>
    clusterState.applyOperatorRow(row, committedAfterMs),
  );
  endpointMirror.addListener((row) => clusterState.applyEndpointRow(row));
  sharedMirror.addListener((row) => clusterState.applySharedRow(row));
  const { nodeName } = settings;
  const { shared, rows } = dependencies;
  // At the first start, the nodes announce themselves within that time.
  const isMembershipKnown = () =>
    sharedMirror.version > 0 &&
    (!settings.isFirstStart || clock.nowMs() - addressesHeldAtMs >= settings.bounds.contactLimitMs);
  const { strikes } = clusterState;
  const strikePublisher = StrikePublisher.create({
    nodeName,
    shared,
    rows,
    strikes,
    clock,
    storeClock,
    log,
  });
  const promptPartContainment = PromptPartContainment.create({
    nodeName,
    shared,
    rows,
    clock,
    storeClock,
    log,
  });
  const weightTargetTimes = WeightTargetTimes.create({
    shared,
    rows,
    targets: clusterState.weightTargets,
    clock,
    random,
    log,
  });
  const streamOrigins = StreamOrigins.create();
  const originSharing = OriginSharing.create({
    nodeName,
    origins: streamOrigins,
    endpoints: clusterState.endpoints,
    shared,
    rows,
    clock,
    storeClock,
    listSharingNodes: () => listSharingNodes(clusterState, settings),
    log,
  });
  /** The followers of the tables by which versions are known; filled below, as they depend on later parts. */
  const versionFollowers: MirrorFollower[] = [];
  const { softwareRecord, versionKnowledge, recordSoftwareSend } = createVersionParts({
    settings,
    dependencies,
    clusterState,
    endpointMirror,
    sharedMirror,
    originSharing,
    isMembershipKnown,
    isStoreReachable: () => versionFollowers.every(({ isStoreReachable }) => isStoreReachable),
    storeClock,
    startMs,
    clock,
    log,
  });
  sharedMirror.addListener((row) => {
    originSharing.applyRow(row);
    softwareRecord.applyRow(row);
    weightTargetTimes.applyRow(row);
    strikePublisher.applyRow(row);
    promptPartContainment.applyRow(row);
  });
  endpointMirror.addListener(({ key }) => {
    const endpoint = clusterState.endpoints.findEndpoint(key);
    if (endpoint === undefined) return;
    const startKey = getEndpointStartKey(endpoint);
    promptPartContainment.recordHeartbeat(startKey, endpoint.record.heartbeat);
    strikePublisher.recordHeartbeat(startKey, endpoint.record.heartbeat);
    softwareRecord.noticeRegistration(endpoint.record);
  });

  const ownPeerAddress = `${settings.peerAddress.host}:${settings.peerAddress.port}`;
  const tableRelaySource = createTableRelaySource(responseLimits);
  const listOtherPeers = (): string[] => {
    const known = new Set([...settings.seeds, ...clusterState.listPeerAddresses()]);
    known.delete(ownPeerAddress);
    return [...known];
  };
  const peers = createPeerSource(tableRelaySource, listOtherPeers, random);
  const outageCheck = OutageCheck.create({
    listPeers: listOtherPeers,
    askPeer: createContinuitySource(responseLimits),
    clock,
    random,
    onRefuted: (evidence) => {
      log.logStateChange('store_outage_refuted', { ...evidence });
      clusterState.refuteOutage();
    },
    onError: (error) =>
      log.logStateChange('outage_check_failed', { reason: getErrorMessage(error) }),
  });
  const tableRelay = TableRelay.create({
    self: { name: nodeName, zone: settings.zone, region: settings.region },
    regionByZone: settings.regionByZone,
    clusterState,
    mirrors: [operatorMirror, endpointMirror, sharedMirror],
    sharedMirror,
    maxCopyAgeMs: computeMaxRelayedAgeMs(settings.bounds),
    relay: tableRelaySource,
    random,
    clock,
    log,
  });
  const onMirrorEvent = (event: MirrorEvent) => {
    if (event.table === endpointMirror.table) {
      if (event.type === 'store_lost') clusterState.recordStoreUnreachable();
      if (event.type === 'store_regained' && clusterState.recordStoreRecovered(event.copyAgeMs))
        outageCheck.start(clock.nowMs() - event.copyAgeMs);
    }
    const { type, ...fields } = event;
    log.logStateChange(type, fields);
  };
  const followerDependencies = {
    source: dependencies.tables,
    peers,
    tableRelay,
    getNodeCount: () => clusterState.nodeCount,
    clock,
    onEvent: onMirrorEvent,
  };
  const { bounds } = settings;
  const operatorTableTiming = createOperatorTableTiming(bounds);
  const operatorFollower = createTableFollower(
    operatorMirror,
    operatorTableTiming,
    {
      type: 'when_overdue',
      getOverdueAgeMs: () => tableRelay.maxRelayedAgeMs + computeOverdueAgeMs(operatorTableTiming),
    },
    followerDependencies,
  );
  const endpointTableTiming = createEndpointTableTiming(bounds);
  const endpointFollower = createTableFollower(
    endpointMirror,
    endpointTableTiming,
    { type: 'after_failure', minAgeMs: ENDPOINT_TABLE_FALLBACK_AGE_MS },
    followerDependencies,
  );
  const sharedFollower = createTableFollower(
    sharedMirror,
    createSharedTableTiming(bounds),
    { type: 'after_failure', minAgeMs: SHARED_TABLE_FALLBACK_AGE_MS },
    followerDependencies,
  );
  const followers = [operatorFollower, endpointFollower, sharedFollower];
  versionFollowers.push(endpointFollower, sharedFollower);

  let shutdown: Shutdown | undefined;
  const retryBounds = {
    ratio: bounds.retryBudgetRatio,
    slack: bounds.retrySlack,
    windowS: bounds.retryWindowS,
  };
  const budgets = new Map<string, SlidingWindowRetryBudget>();
  const eventIdHistories = new Map<string, EventIdHistory>();
  const suspensionClock = createSuspensionClock(clock, Date.now);
  const cacheStoreWatcher = CacheStoreWatcher.create({
    nodeName: settings.nodeName,
    clusterState,
    client: dependencies.cacheStores,
    relay: createCacheStoreRelaySource(
      (name) => clusterState.findPeer(name)?.address,
      responseLimits,
    ),
    random,
    clock: suspensionClock,
    log,
  });
  const callerLimits = deriveCallerLimits({
    memoryBytes: settings.memoryMb * BYTES_PER_MB,
    heapBytes: getHeapStatistics().heap_size_limit,
    maxFds: settings.maxFds,
  });
  const eventLoopMonitor = EventLoopMonitor.create(clock.nowMs(), readProcessorMs());
  const intake = RequestIntake.create(clock, eventLoopMonitor);
  const pool = ConnectionPool.create({
    pacer: responseLimits.pacer,
    clock: suspensionClock,
    getReadDelayMs: () => intake.getReadDelayMs(),
  });
  const links = LinkMonitor.create({ pool, clusterState, clock, random, log, metrics });
  pool.onOpening = (endpointStart, progress) => links.recordOpening(endpointStart, progress);
  const context: GatewayContext = {
    settings,
    headers: dependencies.headers,
    clusterState,
    pool,
    links,
    bodyMemory: MemoryBudget.create(callerLimits.bodyMemoryBytes),
    unsentMemory: MemoryBudget.create(settings.memoryMb * BYTES_PER_MB * SLOW_CALLER_MEMORY_SHARE),
    responseLimits,
    clock,
    random,
    log,
    metrics,
    strikePublisher,
    recentAnswers: RecentAnswers.create(),
    promptPartContainment,
    suspensionClock,
    waitingAttempts: WaitingAttempts.create(),
    transferMeter: TransferSlowdownTracker.create(),
    findCacheStoreIndex: (address) => cacheStoreWatcher.findIndex(address),
    areHeartbeatsCurrent: () =>
      endpointFollower.isStoreReachable &&
      endpointMirror.getAgeMs(clock.nowMs()) <
        (tableRelay.isStoreReader
          ? endpointTableTiming.longPollMs + endpointTableTiming.pollIntervalMs
          : tableRelay.maxRelayedAgeMs),
    isMembershipKnown,
    getRetryBudget: (service) => {
      const known = budgets.get(service);
      if (known !== undefined) return known;
      const created = SlidingWindowRetryBudget.create(
        retryBounds,
        settings.isFirstStart ? undefined : addressesHeldAtMs,
      );
      budgets.set(service, created);
      return created;
    },
    getEventIdHistory: (service) => {
      const history = eventIdHistories.get(service) ?? EventIdHistory.create();
      eventIdHistories.set(service, history);
      return history;
    },
    eventLoopMonitor,
    intake,
    routeDurations: RouteDurations.create(),
    hedging:
      settings.hedgingShares === undefined ? undefined : Hedging.create(settings.hedgingShares),
    streamOrigins,
    recordSoftwareSend,
    versionKnowledge,
    overloadState: OverloadState.create({
      maxCount: MAX_HELD_CALLS,
      maxBytes: settings.memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE * HELD_BODY_SHARE,
    }),
    heldCalls: HeldCalls.create(),
    relaying: {
      peers: RelayPeers.create({ ...settings, random }),
      pool: ConnectionPool.create({ pacer: responseLimits.pacer, clock: suspensionClock }),
      acceptedRequests: 0,
    },
    brittleServices: BrittleServices.create(),
    brittleWaits: BrittleWaits.create(),
    getShutdown: () => shutdown,
  };
  pool.onIdleConnectionLost = (endpointStart) => recordIdleConnectionLost(context, endpointStart);
  const admission = ConnectionAdmission.create({
    limits: callerLimits,
    bodyMemory: context.bodyMemory,
    intake,
    clock,
    log,
    metrics,
  });
  const server = CallerServer.create(context, admission);
  operatorMirror.addListener(() => {
    if (clusterState.trafficRules !== undefined)
      server.applyLimits(clusterState.trafficRules.limits);
  });

  const lease = OrderLease.create({
    // The address tells a VM from a replacement that was given its name.
    holder: {
      vm: `${settings.nodeName}@${ownPeerAddress}`,
      start: `${process.pid}/${Date.now()}`,
    },
    store: dependencies.lease,
    clock,
    storeClock,
    storeEra,
    suspensionClock,
    minHandoverMs: bounds.leaseHandoverDelayMs,
    random,
    onChange: ({ type, ...fields }) => log.logStateChange(`order_lease_${type}`, fields),
  });
  storeEra.addListener((era, previousEra) => {
    if (previousEra === 0) return;
    log.logStateChange('store_restored', { era, previousEra });
    lease.startEra();
  });
  sharedMirror.addListener((row) => {
    if (row.key !== LEASE_KEY || row.value === undefined) return;
    // Versions of the copy are those of its own era.
    if (sharedMirror.era !== storeEra.current) return;
    const value = dependencies.rows.decodeSharedValue(row.value);
    lease.updateRow({ value, version: row.version, attemptId: readAttemptId(value) });
  });
  const rollout = RolloutCoordinator.create({
    lease,
    client: dependencies.orders,
    clock,
    random,
    listEndpoints: () =>
      [...clusterState.endpoints.listAll()]
        .filter(({ statements }) => !statements.leaving.isAnnounced)
        .map(({ record }) => record)
        .filter(({ state, weights }) => state === 'ready' && weights.size > 0),
    listTargets: () => clusterState.listWeightTargets(),
    isEvacuated: ({ id }) => {
      const zone = clusterState.endpoints.findEndpoint(id)?.record.zone;
      return zone !== undefined && clusterState.evacuatedZones.has(zone);
    },
    getRemainingMs: (model, version) => clusterState.getWeightsRemainingMs(model, version),
    onEvent: (event) => {
      const { type, ...fields } = event;
      const result = 'result' in event ? event.result.type : undefined;
      const detail =
        'result' in event && 'reason' in event.result ? event.result.reason : undefined;
      log.logStateChange(`order_${type}`, { ...fields, result, detail });
    },
    onWeightsReported: (endpoint, weights) => {
      for (const [model, version] of weights)
        clusterState.recordEndpointWeights(endpoint.id, model, version);
    },
    onLeavingReported: (endpoint) => clusterState.recordEndpointLeaving(endpoint),
  });

  const isReady = () =>
    shutdown === undefined &&
    clusterState.trafficRules !== undefined &&
    clusterState.endpoints.size > 0;
  // The node's name, rows and lease are a predecessor's until it has released all of its addresses.
  const listeners = await openGatewayListeners({
    settings,
    readinessPath,
    isReady,
    server,
    admission,
    mirrors: [operatorMirror, endpointMirror, sharedMirror],
    // A peer without contact to the store would remove endpoints that this node still waits for.
    isServable: (table) =>
      table !== endpointMirror.table || !clusterState.isAwaitingRegistrations(),
    findCacheStoreIndex: (address) => cacheStoreWatcher.findIndex(address),
    indexClock: suspensionClock,
    explain: (described) => explainPlacement(context, described),
    metrics,
    clusterState,
    originSharing,
    versionKnowledge,
    isReachable: (endpoint) => context.links.isUsable(endpoint),
    onDigest: (peer, entries) => recordPeerLinks(context, peer, entries),
    getUninterruptedMs: () => endpointMirror.getUninterruptedMs(clock.nowMs()),
    clock,
    log,
  });
  if (listeners.isErr()) {
    log.flush();
    throw new AddressUnavailableError(listeners.error);
  }
  addressesHeldAtMs = clock.nowMs();
  eventLoopMonitor.start(addressesHeldAtMs, readProcessorMs());
  log.logStateChange('started', {
    zone: settings.zone,
    region: settings.region,
    callerAddress: `${settings.callerAddress.host}:${server.getPort()}`,
    memoryMb: settings.memoryMb,
    isFirstStart: settings.isFirstStart,
  });

  const announceNode = async () => {
    const isWritten = await dependencies.shared.write(`${PEER_PREFIX}${settings.nodeName}`, {
      address: ownPeerAddress,
      loadAddress: `${settings.loadAddress.host}:${settings.loadAddress.port}`,
      zone: settings.zone,
    });
    log.logStateChange('announced', { isWritten });
    return isWritten;
  };
  let isAnnounced = false;
  const lostRows = LostRows.create({
    nodeName,
    sharedMirror,
    strikePublisher,
    promptPartContainment,
    weightTargetTimes,
    listModels: () => clusterState.listWeightTargets().map(({ model }) => model),
    publishAddressAgain: () => {
      isAnnounced = false;
    },
  });
  let nextAnnouncementAtMs = clock.nowMs();
  const recordEventLoopDelay = () => {
    const { delayMs, processorMs } = eventLoopMonitor.recordTick(clock.nowMs(), readProcessorMs());
    metrics.recordEventLoopDelay(delayMs);
    if (delayMs < LOGGED_EVENT_LOOP_DELAY_MS) return delayMs;
    log.logStateChange('event_loop_delayed', {
      delayMs: Math.round(delayMs),
      processorMs: Math.round(processorMs),
      active: server.activeRequestCount,
    });
    return delayMs;
  };
  const housekeepingTimer = setInterval(() => {
    links.check(recordEventLoopDelay());
    clusterState.removeExpiredEndpoints();
    recordOutlivedAnswers(context);
    const stoppedAttempts = context.waitingAttempts.stopOverdue(
      (model, version) => clusterState.getWeightsRemainingMs(model, version),
      // A timer of a busy process may be late.
      HOUSEKEEPING_INTERVAL_MS * 2,
    );
    if (stoppedAttempts > 0)
      log.logStateChange('old_weights_attempts_stopped', { attempts: stoppedAttempts });
    metrics.setGauge('active_requests', server.activeRequestCount);
    metrics.setGauge('endpoints', clusterState.endpoints.size);
    const leaving = [...clusterState.endpoints.listAll()].filter(
      ({ statements }) => statements.leaving.isAnnounced,
    );
    metrics.setGauge('leaving_endpoints', leaving.length);
    const held = [...clusterState.endpoints.listAll()].filter(
      ({ statements }) => statements.hold.getEndMs(clock.nowMs()) !== undefined,
    );
    metrics.setGauge('held_endpoints', held.length);
    const brittle = [...clusterState.endpoints.listAll()].filter(
      (endpoint) => findRejectionLimit(context, endpoint) !== undefined,
    );
    metrics.setGauge('brittle_endpoints', brittle.length);
    metrics.setGauge('cold_endpoints', logColdChanges(context));
    metrics.setGauge('evacuated_zones', clusterState.evacuatedZones.size);
    metrics.setGauge('nodes', clusterState.nodeCount);
    metrics.setGauge('quarantined_prompt_parts', promptPartContainment.logChanges());
    metrics.setGauge('connections_opened', context.pool.openedConnections);
    metrics.setGauge('configuration_version', clusterState.trafficRules?.version ?? 0);
    metrics.setGauge('operator_table_age_ms', operatorMirror.getAgeMs(clock.nowMs()));
    metrics.setGauge('store_era', storeEra.current);
    const mirrors = [operatorMirror, endpointMirror, sharedMirror];
    metrics.setGauge(
      'unconfirmed_rows',
      mirrors.reduce((count, { unconfirmedCount }) => count + unconfirmedCount, 0),
    );
    if (isAnnounced || clock.nowMs() < nextAnnouncementAtMs) return;
    nextAnnouncementAtMs = clock.nowMs() + ANNOUNCE_RETRY_DELAY_MS;
    announceNode()
      .then((isWritten) => {
        isAnnounced = isWritten;
      })
      .catch((error: unknown) =>
        log.logStateChange('announce_failed', { reason: getErrorMessage(error) }),
      );
  }, HOUSEKEEPING_INTERVAL_MS);
  const publishRows = async () => {
    // Before the first read, this node's rows of an earlier start would be overwritten.
    if (sharedMirror.version === 0) return;
    lostRows.publishAgain();
    // In large deployments, those that read the store for the others write the times.
    if (tableRelay.isStoreReader) await weightTargetTimes.publish();
    await strikePublisher.publish();
    await promptPartContainment.publish();
    await softwareRecord.publish();
    await originSharing.publish();
  };
  const publishTimer = setInterval(() => {
    publishRows().catch((error: unknown) => {
      log.logStateChange('strikes_not_published', { reason: getErrorMessage(error) });
    });
  }, STRIKE_PUBLISH_INTERVAL_MS);
  const logCrash = (error: unknown) => {
    log.logProblem('loop_crashed', { reason: getErrorMessage(error) });
  };
  for (const follower of followers) follower.run().catch(logCrash);
  rollout.run().catch(logCrash);
  cacheStoreWatcher.run().catch(logCrash);
  tableRelay.run().catch(logCrash);

  const runShutdown = async (reason: string, requestedAtMs: number): Promise<void> => {
    const plan = createShutdownPlan(bounds.shutdownGraceMs);
    shutdown = { plan, requestedAtMs };
    rollout.stop();
    cacheStoreWatcher.stop();
    tableRelay.stop();
    log.logStateChange('stopping', { reason, active: server.activeRequestCount });
    const waitForDrainStep = () =>
      new Promise((resolve) => {
        setTimeout(resolve, HOUSEKEEPING_INTERVAL_MS / 4);
      });
    const waitUntil = async (isDone: () => boolean) => {
      while (!isDone()) await waitForDrainStep();
    };
    const getElapsedMs = () => clock.nowMs() - requestedAtMs;
    await waitUntil(() => getElapsedMs() >= plan.closeAtMs);
    server.stopListening();
    server.closeIdleConnections();
    await waitUntil(() => server.activeRequestCount === 0 || getElapsedMs() >= plan.endAtMs);
    // After a stall of the event loop, responses that arrived meanwhile are unread.
    if (server.activeRequestCount > 0) await waitForDrainStep();
    log.logStateChange('stopped', {
      active: server.activeRequestCount,
      elapsedMs: Math.round(getElapsedMs()),
    });
    for (const follower of followers) follower.stop();
    clearInterval(housekeepingTimer);
    clearInterval(publishTimer);
    links.stop();
    server.abortRelayed();
    await listeners.value.close();
    admission.stop();
    log.flush();
  };
  let shutdownPromise: Promise<void> | undefined;
  const drain = (reason: string, requestedAtMs = clock.nowMs()): Promise<void> => {
    if (shutdown !== undefined)
      log.logStateChange('stop_repeated', {
        reason,
        active: server.activeRequestCount,
        elapsedMs: Math.round(requestedAtMs - shutdown.requestedAtMs),
      });
    shutdownPromise ??= runShutdown(reason, requestedAtMs);
    return shutdownPromise;
  };
  const recordReload: Gateway['recordReload'] = (result, faults) =>
    log.logStateChange('reloaded', { result, faults });
  return { drain, recordReload, callerPort: server.getPort() };
};
