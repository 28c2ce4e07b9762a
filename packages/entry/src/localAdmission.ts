import { okAsync } from 'neverthrow';
import type { Admission } from './types.js';

/** Admits every request and every retry, for an entry process without limits. */
export const createLocalAdmission = (): Admission => ({
  admit: () => okAsync({ queuedMs: 0, release: () => undefined }),
  tryTakeRetry: () => true,
});
