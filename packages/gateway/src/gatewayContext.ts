import type { SlidingWindowRetryBudget } from '@lovagearch/admission';
import type { Clock, Random } from '@lovagearch/common';
import type { ConnectionPool } from '@lovagearch/exchange';
import type { StoreIndex, TransferSlowdownTracker } from '@lovagearch/reuse';
import type { ClusterState } from './clusterState.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { BodyMemoryBudget } from './requestBody.js';
import type { StrikePublisher } from './strikePublisher.js';
import type { GatewaySettings, HeaderCodec } from './types.js';

/** What all requests of a process share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly headers: HeaderCodec;
  readonly clusterState: ClusterState;
  readonly pool: ConnectionPool;
  readonly bodyMemory: BodyMemoryBudget;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly strikePublisher: StrikePublisher;
  /** Returns what a store VM keeps, if this node watches it. */
  readonly findCacheStoreIndex: (address: string) => StoreIndex | undefined;
  readonly transferMeter: TransferSlowdownTracker;
  /** Also counts time in which the VM was suspended. */
  readonly suspensionClock: Clock;
  /** Whether registrations are up to date. */
  readonly areHeartbeatsCurrent: () => boolean;
  readonly getRetryBudget: (service: string) => SlidingWindowRetryBudget;
  readonly getPhase: () => ServingPhase;
}

/** `draining`: new requests are still served; `closing`: they are refused. */
export type ServingPhase = 'closing' | 'draining' | 'serving';
