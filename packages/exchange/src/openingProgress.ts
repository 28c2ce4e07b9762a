import { CONNECT_TIMEOUT_MS } from './constants.js';

/** How an attempt to open a connection failed at the other end or on the way. */
export type OpeningFailure = 'refused' | 'reset' | 'timeout';

/** What becomes of an attempt to open a connection; `afterMs` is the time since its start in milliseconds. */
export type OpeningProgress =
  | { readonly type: 'established' }
  /** It isn't established yet, and may still be. */
  | { readonly type: 'overdue'; readonly afterMs: number }
  | { readonly type: 'failed'; readonly cause: OpeningFailure; readonly afterMs: number };

/** Failures that say something about the network or the endpoint; others, such as `EMFILE`, are this process's own. */
const FAILURES_BY_CODE: ReadonlyMap<string, OpeningFailure> = new Map([
  ['ECONNREFUSED', 'refused'],
  ['EHOSTUNREACH', 'refused'],
  ['ENETUNREACH', 'refused'],
  ['ECONNRESET', 'reset'],
  ['ETIMEDOUT', 'timeout'],
]);

/**
 * Returns how an attempt to open a connection failed, or undefined if that says nothing about the endpoint.
 *
 * @example
 * findOpeningFailure(Object.assign(new Error('connect'), { code: 'ECONNREFUSED' }), 1); // 'refused'
 */
export const findOpeningFailure = (error: Error, afterMs: number): OpeningFailure | undefined => {
  // The socket wraps a reset in another error.
  const { code } = (error.cause instanceof Error ? error.cause : error) as NodeJS.ErrnoException;
  if (code !== undefined) return FAILURES_BY_CODE.get(code);
  return afterMs >= CONNECT_TIMEOUT_MS - 1 ? 'timeout' : undefined;
};
