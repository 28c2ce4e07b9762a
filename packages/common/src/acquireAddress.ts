import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Clock } from './clock.js';
import { getErrorMessage } from './errors.js';
import { retryWhilePassing } from './retryWhilePassing.js';

/** Time between two attempts to listen on an address, in milliseconds. */
export const ADDRESS_RETRY_INTERVAL_MS = 100;
/** Time beyond a predecessor's grace period for which its addresses are waited for, in milliseconds. */
export const ADDRESS_WAIT_MARGIN_MS = 10_000;

/** Errors of listening that end with another process or its connections. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

const isPassingError = (error: unknown): boolean =>
  error instanceof Error &&
  'code' in error &&
  typeof error.code === 'string' &&
  PASSING_CODES.has(error.code);

/** Why a process has no listener on an address: `timed_out` after the whole wait, `unusable` at once. */
export type AddressError =
  | {
      readonly type: 'timed_out';
      readonly listener: string;
      /** `host:port` */
      readonly address: string;
      readonly waitedMs: number;
      readonly reason: string;
    }
  | {
      readonly type: 'unusable';
      readonly listener: string;
      /** `host:port` */
      readonly address: string;
      readonly reason: string;
    };

/** Steps of a wait; an address that is free at once has none. */
export type AddressEvent =
  | {
      readonly type: 'waiting_for_address';
      readonly listener: string;
      readonly address: string;
      readonly reason: string;
    }
  | {
      readonly type: 'address_acquired';
      readonly listener: string;
      readonly address: string;
      readonly waitedMs: number;
    };

export interface AddressRequest<T> {
  /** Name of the listener in log lines and errors. */
  readonly listener: string;
  readonly host: string;
  readonly port: number;
  /** Starts listening. An attempt that rejects must leave nothing open. */
  readonly open: () => Promise<T>;
  /** Longest wait, in milliseconds; may be `Infinity`. */
  readonly maxWaitMs: number;
  /** Time between two attempts, in milliseconds; `ADDRESS_RETRY_INTERVAL_MS` by default. */
  readonly intervalMs?: number;
  readonly clock: Clock;
  /** Ends the wait. */
  readonly signal?: AbortSignal | undefined;
  readonly onEvent: (event: AddressEvent) => void;
}

/**
 * Starts listening on an address, and waits while another process holds it: a predecessor that still drains keeps its
 * addresses until its end. Errors that don't pass by themselves are returned at once.
 *
 * @returns what `open` resolves to, or an error that names the listener and its address
 * @example
 * const server = await acquireAddress({
 *   listener: 'readiness',
 *   host: '10.1.0.20',
 *   port: 8586,
 *   open: () => startReadinessServer(address, '/ready', isReady),
 *   maxWaitMs: shutdownGraceMs + ADDRESS_WAIT_MARGIN_MS,
 *   clock: processClock,
 *   onEvent: ({ type, ...fields }) => log.logStateChange(type, fields),
 * });
 * if (server.isErr()) throw new AddressUnavailableError(server.error);
 */
export const acquireAddress = async <T>({
  listener,
  host,
  port,
  open,
  maxWaitMs,
  intervalMs = ADDRESS_RETRY_INTERVAL_MS,
  clock,
  signal,
  onEvent,
}: AddressRequest<T>): Promise<Result<T, AddressError>> => {
  const address = `${host}:${port}`;
  let hasWaited = false;
  const { result, waitedMs } = await retryWhilePassing({
    attempt: async () => ResultAsync.fromPromise(open(), (error) => error),
    isPassing: isPassingError,
    intervalMs,
    maxWaitMs,
    clock,
    signal,
    onWaiting: (error) => {
      hasWaited = true;
      onEvent({ type: 'waiting_for_address', listener, address, reason: getErrorMessage(error) });
    },
  });
  if (result.isOk()) {
    if (hasWaited) onEvent({ type: 'address_acquired', listener, address, waitedMs });
    return ok(result.value);
  }
  const reason = getErrorMessage(result.error);
  return isPassingError(result.error)
    ? err({ type: 'timed_out', listener, address, waitedMs, reason })
    : err({ type: 'unusable', listener, address, reason });
};

/** Returns an address error as a sentence for operators. */
export const formatAddressError = (error: AddressError): string => {
  const { listener, address, reason } = error;
  switch (error.type) {
    case 'timed_out':
      return `the ${listener} listener could not get ${address} within ${error.waitedMs} ms: ${reason}`;
    case 'unusable':
      return `the ${listener} listener can't use ${address}: ${reason}`;
    default:
      return error satisfies never;
  }
};

/** Ends a start that lacks an address which the process needs. */
export class AddressUnavailableError extends Error {
  constructor(readonly addressError: AddressError) {
    super(formatAddressError(addressError));
    this.name = 'AddressUnavailableError';
  }
}
