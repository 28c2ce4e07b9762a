import { createNotRunError } from '@lovagearch/common';
import { errAsync, okAsync } from 'neverthrow';
import type { RunCoordinator } from './types.js';

/** Refuses all non-idempotent calls, for an entry process without a run log. */
export const createLocalRunCoordinator = (): RunCoordinator => ({
  begin: () => errAsync(createNotRunError('run_store_unavailable', 'this node has no run log')),
  finish: () => okAsync(undefined),
  release: () => okAsync(undefined),
  abandon: () => undefined,
});
