import { createNotRunError } from '@lovagearch/common';
import { errAsync, okAsync } from 'neverthrow';
import type { Admission, Containment, RunCoordinator } from './types.js';

/** Test double that admits every request and every retry. */
export const createAdmissionFake = (): Admission => ({
  admit: () => okAsync({ queuedMs: 0, release: () => undefined }),
  tryTakeRetry: () => true,
});

/** Test double that never attributes a crash to a request. */
export const createContainmentFake = (): Containment => ({
  check: () => ({ type: 'clear' }),
  recordStart: () => undefined,
  recordOutput: () => undefined,
  recordEnd: () => undefined,
});

/** Test double that refuses all non-idempotent calls. */
export const createRunCoordinatorFake = (): RunCoordinator => ({
  begin: () => errAsync(createNotRunError('run_store_unavailable', 'this node has no run log')),
  finish: () => okAsync(undefined),
  release: () => okAsync(undefined),
  abandon: () => undefined,
});
