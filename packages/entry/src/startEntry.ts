import type { Clock, Logger, Metrics, Random } from '@lovagearch/common';
import type { EngineClient } from '@lovagearch/engine-client';
import type { TopicTraffic } from '@lovagearch/peering';
import type { LinkBudget, RoutingPolicy } from '@lovagearch/routing';
import type { ServiceClient } from '@lovagearch/service-client';
import { AbandonedStreams } from './abandonedStreams.js';
import { type AdminReaders, AdminServer } from './adminServer.js';
import type { CallerConfiguration } from './callerConfiguration.js';
import { CallerServer } from './callerServer.js';
import { DecisionLog } from './decisionLog.js';
import { DrainController } from './drainController.js';
import { GenerationOpener } from './generationOpener.js';
import { openListener } from './listenAddress.js';
import { ModelRequestHandler } from './modelRequestHandler.js';
import { AtMostOnceCalls } from './atMostOnceCall.js';
import { ResumeTokenCodec } from './resumeTokenCodec.js';
import { RoutingChooser } from './routingChooser.js';
import { RunnerSelector } from './runnerSelector.js';
import { ServiceInstanceSelector } from './serviceInstanceSelector.js';
import { ServiceRequestHandler } from './serviceRequestHandler.js';
import { ServiceCallSender } from './serviceCallSender.js';
import type { SseWriterOptions } from './sseWriter.js';
import type {
  Admission,
  Containment,
  EndpointDirectory,
  NodeIdentity,
  NodeComponent,
  PromptIndex,
  RunCoordinator,
} from './types.js';

/** Settings of both HTTP servers. Keys are used for signatures and calls only and are never logged. */
export interface EntryOptions {
  readonly host: string;
  readonly callerPort: number;
  readonly adminPort: number;
  readonly clusterKey: string;
  readonly serviceToken: string;
  readonly operatorKeySha256: readonly string[];
  readonly maxBodyBytes: number;
  readonly drainLimitMs: number;
  /** Time without running requests after which a draining node stops listening. */
  readonly drainIdleMs?: number;
  readonly historyFile?: string | undefined;
  /** Time limits of streamed responses; the defaults are those of docs/design.md. */
  readonly sse?: SseWriterOptions;
  /** Time for which a stream continues after its caller has disconnected. */
  readonly resumeGraceMs?: number;
}

/** Readers of the administration API that the caller of `startEntry` provides. */
export type EntryReaders = Omit<AdminReaders, 'decisions' | 'metrics' | 'node' | 'refusals'>;

/** Components and clients of the node that the servers use. */
export interface EntryDependencies {
  readonly identity: NodeIdentity;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly configuration: CallerConfiguration;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly directory: EndpointDirectory;
  readonly index: PromptIndex;
  readonly runs: RunCoordinator;
  readonly admission: Admission;
  readonly containment: Containment;
  readonly linkBudget?: LinkBudget | undefined;
  readonly routingPolicy?: RoutingPolicy['type'] | undefined;
  readonly readers: EntryReaders;
  /** Traffic with other nodes by topic, for the administration API. */
  readonly listTopicTraffic?: () => readonly TopicTraffic[];
  /** Whether the node knows enough endpoints to receive requests. */
  readonly isReady?: () => boolean;
  /** Called when the node begins to drain, so that other nodes take over its tasks. */
  readonly handleDrainStart?: () => void;
  /** Background components, stopped in this order once no request is running. */
  readonly backgroundComponents: readonly NodeComponent[];
}

/** A running entry server. */
export interface RunningEntry {
  readonly callerPort: number;
  readonly adminPort: number;
  readonly drain: DrainController;
  /** Stops as on SIGTERM: running requests may finish within the drain limit. */
  readonly stop: () => Promise<void>;
}

const createModelHandler = (
  options: EntryOptions,
  parts: EntryDependencies,
  decisions: DecisionLog,
  abandonedStreams: AbandonedStreams,
): ModelRequestHandler => {
  const { directory, index } = parts;
  const selection = RunnerSelector.create(directory, index, RoutingChooser.create(parts));
  const log = parts.log.withTag('generation');
  const { serviceToken } = options;
  const dependencies = { ...parts, log, decisions, selection, serviceToken };
  const resumeTokens = ResumeTokenCodec.create(Buffer.from(options.clusterKey));
  const opener = GenerationOpener.create(
    dependencies,
    parts.configuration,
    resumeTokens,
    abandonedStreams,
  );
  return ModelRequestHandler.create(
    dependencies,
    opener,
    resumeTokens,
    abandonedStreams,
    options.sse,
  );
};

const createServiceHandler = (
  { serviceToken }: EntryOptions,
  parts: EntryDependencies,
  decisions: DecisionLog,
): ServiceRequestHandler => {
  const log = parts.log.withTag('services');
  const instances = ServiceInstanceSelector.create(parts.directory, parts.identity, parts.random);
  const sender = ServiceCallSender.create({ ...parts, log, decisions, instances, serviceToken });
  const atMostOnceCalls = AtMostOnceCalls.create({ ...parts, log, decisions, sender });
  return ServiceRequestHandler.create({ ...parts, decisions, sender, atMostOnceCalls });
};

const createAdminReaders = (
  parts: EntryDependencies,
  decisions: DecisionLog,
  drain: DrainController,
  abandoned: AbandonedStreams,
): AdminReaders => ({
  ...parts.readers,
  refusals: () => ({ refusals: decisions.listRefusals() }),
  decisions: (requestId) => decisions.listDecisions(requestId),
  metrics: () => ({
    counters: parts.metrics.getCounters(),
    histograms: Object.fromEntries(
      parts.metrics
        .getHistogramNames()
        .map((name) => [name, parts.metrics.getSummaries(name)] as const),
    ),
  }),
  node: () => ({
    ...parts.identity,
    isDraining: drain.isDraining,
    runningRequests: drain.runningRequests,
    streamsAwaitingResume: abandoned.size,
    traffic: parts.listTopicTraffic?.() ?? [],
  }),
});

/**
 * Creates the request handlers and starts the caller server and the administration server.
 *
 * @throws {AddressUnavailableError} if an address can't be used or its holder doesn't release it
 * @example
 * const entry = await startEntry(options, parts);
 * await entry.stop();
 */
export const startEntry = async (
  options: EntryOptions,
  parts: EntryDependencies,
): Promise<RunningEntry> => {
  const { clock, log } = parts;
  const decisions = DecisionLog.create(clock, log.withTag('history'), options.historyFile);
  const drain = DrainController.create(log.withTag('drain'), options.drainIdleMs);
  const abandoned = AbandonedStreams.create(
    parts.engines,
    log.withTag('streams'),
    options.resumeGraceMs,
  );
  const caller = CallerServer.create({
    ...parts,
    log: log.withTag('caller'),
    decisions,
    drain,
    models: createModelHandler(options, parts, decisions, abandoned),
    services: createServiceHandler(options, parts, decisions),
    maxBodyBytes: options.maxBodyBytes,
  });
  const readers = createAdminReaders(parts, decisions, drain, abandoned);
  const admin = AdminServer.create(readers, options.operatorKeySha256, log.withTag('admin'));
  const addresses = { ...options, clock, log: log.withTag('entry') };
  const callerPort = await openListener(
    'caller',
    options.callerPort,
    () => caller.listen(options.host, options.callerPort),
    addresses,
  );
  const adminPort = await openListener(
    'admin',
    options.adminPort,
    () => admin.listen(options.host, options.adminPort),
    addresses,
  );
  const shutDown = async (): Promise<void> => {
    drain.start();
    parts.handleDrainStart?.();
    const isIdle = await drain.waitUntilIdle(options.drainLimitMs);
    await caller.close(!isIdle);
    for (const part of parts.backgroundComponents) await part.stop();
    abandoned.stop();
    await admin.close();
    await Promise.all([parts.engines.close(), parts.services.close(), decisions.close()]);
    await parts.metrics.close();
  };
  let shutdownPromise: Promise<void> | undefined;
  const stop = async (): Promise<void> => {
    shutdownPromise ??= shutDown();
    await shutdownPromise;
  };
  return { callerPort, adminPort, drain, stop };
};
