import { setTimeout as waitMs } from 'node:timers/promises';
import type { NodeId } from '@lovagearch/common';
import type { NodeContext } from './nodeContext.js';
import { NodeTimer } from './nodeTimer.js';
import { NodeRunCoordinator } from './runCoordinator.js';
import { registerHoldsHandler } from './runHolders.js';
import { RunShardOwner } from './runShardOwner.js';
import { RunShardRouter } from './runShardRouter.js';
import type { NodePart } from './types.js';

/** Interval of the checks for shards whose ownership moved to another node. */
const OWNERSHIP_INTERVAL_MS = 1_000;

/** The components of one node that handle at-most-once runs. */
export interface NodeRuns {
  readonly coordinator: NodeRunCoordinator;
  readonly owner: RunShardOwner;
  readonly parts: readonly NodePart[];
}

/** Creates the components of a node that run non-idempotent calls at most once. */
export const createNodeRuns = (
  { clients, clock, identity, log, mesh, settings }: NodeContext,
  listLiveMembers: () => readonly NodeId[],
  isPresent: (node: NodeId) => boolean,
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
    isPresent,
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
  registerHoldsHandler(mesh, coordinator.isHolding);
  const ownership = NodeTimer.start(
    async () => owner.updateOwnership(),
    () => OWNERSHIP_INTERVAL_MS,
    runLog,
  );
  return { coordinator, owner, parts: [coordinator, ownership, owner] };
};
