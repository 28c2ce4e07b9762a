import { setTimeout as waitMs } from 'node:timers/promises';
import type { NodeId } from '@lovagearch/common';
import type { NodeContext } from './nodeContext.js';
import { NodeRunCoordinator } from './runCoordinator.js';
import { RunShardOwner } from './runShardOwner.js';
import { RunShardRouter } from './runShardRouter.js';
import type { NodePart } from './types.js';

/** At-most-once runs of one node. */
export interface NodeRuns {
  readonly coordinator: NodeRunCoordinator;
  readonly owner: RunShardOwner;
  readonly parts: readonly NodePart[];
}

/** Creates the parts of a node that run non-idempotent calls at most once. */
export const createNodeRuns = (
  { clients, clock, identity, log, mesh, settings }: NodeContext,
  listLiveMembers: () => readonly NodeId[],
): NodeRuns => {
  const runLog = log.withTag('runs');
  const shards = settings.runShards;
  const owner = RunShardOwner.create({
    ...clients,
    shards,
    mesh,
    clock,
    log: runLog,
    listLiveMembers,
  });
  const router = RunShardRouter.create({
    shards,
    mesh,
    owner,
    clock,
    listLiveMembers,
    wait: async (pauseMs) => waitMs(pauseMs),
  });
  const coordinator = NodeRunCoordinator.create({
    router,
    objects: clients.objects,
    clock,
    log: runLog,
    self: identity.id,
  });
  return { coordinator, owner, parts: [coordinator, owner] };
};
