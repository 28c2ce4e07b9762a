import type { SlidingWindowRetryBudget } from '@lovagearch/admission';
import type { Clock, Random } from '@lovagearch/common';
import type { ConnectionPool } from '@lovagearch/exchange';
import type { StoreIndex, TransferSlowdownTracker } from '@lovagearch/reuse';
import type { Beliefs } from './beliefs.js';
import type { DecisionLog } from './decisionLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { BodyMemory } from './requestBody.js';
import type { StrikePublisher } from './strikePublisher.js';
import type { GatewaySettings, HeaderCodec } from './types.js';

/** What all requests of a process share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly headers: HeaderCodec;
  readonly beliefs: Beliefs;
  readonly pool: ConnectionPool;
  readonly bodyMemory: BodyMemory;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly strikes: StrikePublisher;
  /** Returns what a store VM keeps, if this node watches it. */
  readonly findStoreIndex: (address: string) => StoreIndex | undefined;
  readonly transfers: TransferSlowdownTracker;
  /** Also counts time in which the VM was suspended. */
  readonly suspensionClock: Clock;
  /** Whether registrations are up to date. */
  readonly areHeartbeatsCurrent: () => boolean;
  readonly getRetryBudget: (service: string) => SlidingWindowRetryBudget;
  readonly getPhase: () => ServingPhase;
}

/** `draining`: new requests are still served; `closing`: they are refused. */
export type ServingPhase = 'closing' | 'draining' | 'serving';
