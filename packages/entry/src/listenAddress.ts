import {
  acquireAddress,
  ADDRESS_WAIT_MARGIN_MS,
  type AddressEvent,
  AddressUnavailableError,
  type Clock,
  type Logger,
} from '@lovagearch/common';

/** Listener of an entry VM, by the names of its settings. */
export type EntryListener = 'admin' | 'caller' | 'peer';

export interface ListenAddressOptions {
  readonly host: string;
  /** Longest drain of a predecessor, which holds its addresses until its end, in milliseconds. */
  readonly drainLimitMs: number;
  readonly clock: Clock;
  readonly log: Logger;
}

const logEvent = (log: Logger, event: AddressEvent): void => {
  const { listener, address } = event;
  switch (event.type) {
    case 'waiting_for_address':
      log.warn(`Waiting for the ${listener} address ${address}: ${event.reason}.`);
      return;
    case 'address_acquired':
      log.info(`Acquired the ${listener} address ${address} after ${event.waitedMs} ms.`);
      return;
    default:
      event satisfies never;
  }
};

/**
 * Opens a listener of this node, and waits while a predecessor that drains holds its address.
 *
 * @throws {AddressUnavailableError} if the address can't be used or isn't released
 * @example
 * const port = await openListener('caller', 8080, () => server.listen(host, 8080), options);
 */
export const openListener = async <T>(
  listener: EntryListener,
  port: number,
  open: () => Promise<T>,
  { host, drainLimitMs, clock, log }: ListenAddressOptions,
): Promise<T> => {
  const opened = await acquireAddress({
    listener,
    host,
    port,
    open,
    maxWaitMs: drainLimitMs + ADDRESS_WAIT_MARGIN_MS,
    clock,
    onEvent: (event) => logEvent(log, event),
  });
  if (opened.isErr()) throw new AddressUnavailableError(opened.error);
  return opened.value;
};
