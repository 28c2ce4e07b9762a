import {
  acquireAddress,
  ADDRESS_RETRY_INTERVAL_MS,
  type AddressError,
  type AddressEvent,
  type Clock,
  formatAddressError,
  getErrorMessage,
} from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import type { GatewayLog } from './gatewayLog.js';
import type { Address } from './types.js';

/** Time between two attempts to open a listener that callers don't need, in milliseconds. */
const BACKGROUND_RETRY_INTERVAL_MS = 1_000;

/** An open listener. */
interface Closable {
  readonly close: () => Promise<void> | void;
}

/** A listener of the gateway. */
export interface GatewayListener {
  /** Name in log lines and errors. */
  readonly name: 'callers' | 'load reports' | 'metrics' | 'peers' | 'readiness';
  readonly address: Address;
  /** Starts listening. An attempt that rejects must leave nothing open. */
  readonly open: () => Promise<Closable>;
}

export interface GatewayListenersOptions {
  /** Longest wait for an address that the gateway needs, in milliseconds. */
  readonly maxWaitMs: number;
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/**
 * The listeners of a gateway. Those that it needs to serve are waited for, as their addresses may still be held by a
 * predecessor; the others are opened whenever their addresses are free.
 *
 * @example
 * const listeners = GatewayListeners.create({ maxWaitMs: 18_000, clock: processClock, log });
 * const opened = await listeners.openAll([readiness, peers, callers]);
 * if (opened.isErr()) throw new AddressUnavailableError(opened.error);
 * listeners.openInBackground(metrics);
 * await listeners.close();
 */
export class GatewayListeners {
  private readonly opened: Closable[] = [];

  private readonly closing = new AbortController();

  private constructor(private readonly options: GatewayListenersOptions) {}

  static create(options: GatewayListenersOptions): GatewayListeners {
    return new GatewayListeners(options);
  }

  /**
   * Opens listeners one after another, so that of several starts at once the first gets all addresses.
   *
   * @returns the error of the first listener without an address; those that are open are closed then
   */
  async openAll(listeners: readonly GatewayListener[]): Promise<Result<void, AddressError>> {
    for (const listener of listeners) {
      const opened = await this.acquire(
        listener,
        this.options.maxWaitMs,
        ADDRESS_RETRY_INTERVAL_MS,
      );
      if (opened.isOk()) continue;
      await this.close();
      return err(opened.error);
    }
    return ok(undefined);
  }

  /** Opens a listener without which the gateway can serve, as soon as its address is free. */
  openInBackground(listener: GatewayListener): void {
    const { log } = this.options;
    const logFailure = (reason: string) =>
      log.logProblem('address_unavailable', { listener: listener.name, reason });
    this.acquire(listener, Infinity, BACKGROUND_RETRY_INTERVAL_MS).then(
      (opened) => {
        if (opened.isErr() && !this.closing.signal.aborted)
          logFailure(formatAddressError(opened.error));
      },
      (error: unknown) => logFailure(getErrorMessage(error)),
    );
  }

  /** Ends all waits and closes all listeners. */
  async close(): Promise<void> {
    this.closing.abort();
    await Promise.all(this.opened.map(async (listener) => listener.close()));
  }

  private async acquire(
    { name, address, open }: GatewayListener,
    maxWaitMs: number,
    intervalMs: number,
  ): Promise<Result<void, AddressError>> {
    const { clock } = this.options;
    const { signal } = this.closing;
    const acquired = await acquireAddress({
      listener: name,
      ...address,
      open,
      maxWaitMs,
      intervalMs,
      clock,
      signal,
      onEvent: (event) => this.logEvent(event),
    });
    if (acquired.isErr()) return err(acquired.error);
    // The last attempt may succeed during the close.
    if (signal.aborted) await acquired.value.close();
    else this.opened.push(acquired.value);
    return ok(undefined);
  }

  private logEvent(event: AddressEvent): void {
    const { log } = this.options;
    const { type, ...fields } = event;
    switch (event.type) {
      case 'waiting_for_address':
        log.logProblem(type, fields);
        return;
      case 'address_acquired':
        log.logStateChange(type, fields);
        return;
      default:
        event satisfies never;
    }
  }
}
