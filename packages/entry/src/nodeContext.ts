import type { Clock, Logger, Random } from '@lovagearch/common';
import type { PeerMesh } from '@lovagearch/peering';
import type { ProcessSettings } from '@lovagearch/settings';
import type { ConfigurationFollower } from './configurationFollower.js';
import type { NodeClients } from './nodeClients.js';
import type { NodeIdentity } from './types.js';

/** Dependencies that the components of a node share. */
export interface NodeContext {
  readonly settings: ProcessSettings;
  readonly identity: NodeIdentity;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly mesh: PeerMesh;
  readonly clients: NodeClients;
  readonly follower: ConfigurationFollower;
}
