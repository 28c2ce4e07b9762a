import { setTimeout as waitMs } from 'node:timers/promises';
import type { NodeId } from '@lovagearch/common';
import type { NodeContext } from './nodeContext.js';
import { PeriodicTask } from './periodicTask.js';
import { NodeRunCoordinator } from './runCoordinator.js';
import { registerHolderCheckHandler } from './runHolderCheck.js';
import { RunShardOwner } from './runShardOwner.js';
import { RunShardRouter } from './runShardRouter.js';
import type { NodeComponent } from './types.js';

/** Interval of the checks for shards whose ownership moved to another node. */
const OWNERSHIP_CHECK_INTERVAL_MS = 1_000;

/** The components of one node that handle at-most-once runs. */
export interface NodeRuns {
  readonly coordinator: NodeRunCoordinator;
  readonly owner: RunShardOwner;
  readonly parts: readonly NodeComponent[];
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
    wait: async (delayMs) => waitMs(delayMs),
  });
  const coordinator = NodeRunCoordinator.create({
    router,
    objects: clients.objects,
    clock,
    log: runLog,
    self: identity.id,
  });
  registerHolderCheckHandler(mesh, coordinator.isHolding);
  const ownershipTimer = PeriodicTask.start(
    async () => owner.updateOwnership(),
    () => OWNERSHIP_CHECK_INTERVAL_MS,
    runLog,
  );
  return { coordinator, owner, parts: [coordinator, ownershipTimer, owner] };
};
