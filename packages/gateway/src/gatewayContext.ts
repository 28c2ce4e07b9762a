import type { SlidingWindowRetryBudget } from '@lovagearch/admission';
import type { MemoryBudget, ReceiveLimits } from '@lovagearch/bounded-http';
import type { Clock, Random } from '@lovagearch/common';
import type { ConnectionPool, EventIdHistory } from '@lovagearch/exchange';
import type { StoreIndex, TransferSlowdownTracker } from '@lovagearch/reuse';
import type { BrittleServices } from './brittleness/brittleServices.js';
import type { BrittleWaits } from './brittleness/brittleWaits.js';
import type { ClusterState } from './clusterState.js';
import type { EventLoopMonitor } from './eventLoopMonitor.js';
import type { RequestIntake } from './intake/requestIntake.js';
import type { LinkMonitor } from './links/linkMonitor.js';
import type { HeldCalls } from './heldCalls.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { Hedging } from './hedging.js';
import type { OverloadState } from './overloadState.js';
import type { PromptPartContainment } from './promptPartContainment.js';
import type { RecentAnswers } from './recentAnswers.js';
import type { Relaying } from './relay/relaying.js';
import type { RouteDurations } from './routeDurations.js';
import type { ShutdownPlan } from './shutdownPlan.js';
import type { StrikePublisher } from './strikePublisher.js';
import type { StreamOrigins } from './streamOrigins.js';
import type { GatewaySettings, HeaderCodec } from './types.js';
import type { VersionKnowledge } from './versionKnowledge.js';
import type { WaitingAttempts } from './waitingAttempts.js';

/** State and services that all requests of a process share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly headers: HeaderCodec;
  readonly clusterState: ClusterState;
  readonly pool: ConnectionPool;
  /** Memory for the bodies of requests. */
  readonly bodyMemory: MemoryBudget;
  /** Memory for bytes that slow callers have not taken. */
  readonly unsentMemory: MemoryBudget;
  readonly responseLimits: ReceiveLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly strikePublisher: StrikePublisher;
  readonly recentAnswers: RecentAnswers;
  readonly promptPartContainment: PromptPartContainment;
  /** Returns the index of what a cache store VM holds, if the store is configured. */
  readonly findCacheStoreIndex: (address: string) => StoreIndex | undefined;
  readonly waitingAttempts: WaitingAttempts;
  /** Which endpoints this node reaches over the network. */
  readonly links: LinkMonitor;
  readonly transferMeter: TransferSlowdownTracker;
  /** Clock that also advances while the VM is suspended. */
  readonly suspensionClock: Clock;
  /** Whether the copy of the endpoints' registrations is up to date. */
  readonly areHeartbeatsCurrent: () => boolean;
  /** Whether this node knows the other nodes, so that it can compute its share of a limit. */
  readonly isMembershipKnown: () => boolean;
  readonly getRetryBudget: (service: string) => SlidingWindowRetryBudget;
  /** Returns how a service has numbered the events of its streams so far. */
  readonly getEventIdHistory: (service: string) => EventIdHistory;
  readonly eventLoopMonitor: EventLoopMonitor;
  readonly intake: RequestIntake;
  readonly routeDurations: RouteDurations;
  /** Whether a decision is only explained, so that it may change no state. */
  readonly isExplanation?: boolean;
  /** Undefined if hedging is switched off. */
  readonly hedging: Hedging | undefined;
  /** Which software version began the streams that callers may resume. */
  readonly streamOrigins: StreamOrigins;
  /** Records that a stream is sent to an endpoint of a software version. */
  readonly recordSoftwareSend: (service: string, version: string) => void;
  readonly versionKnowledge: Pick<VersionKnowledge, 'confirm'>;
  readonly overloadState: OverloadState;
  readonly heldCalls: HeldCalls;
  /** Requests on their way through peers, from this node and from others. */
  readonly relaying: Relaying;
  readonly brittleServices: BrittleServices;
  readonly brittleWaits: BrittleWaits;
  /** The planned stop in progress, if there is one. */
  readonly getShutdown: () => Shutdown | undefined;
}

export interface Shutdown {
  readonly plan: ShutdownPlan;
  /** Reading of the process's clock at the signal. */
  readonly requestedAtMs: number;
}
