import type { Socket } from 'node:net';
import {
  openBoundedSocket,
  PacedReader,
  type ReadPacer,
  readUnsentBytes,
} from '@lovagearch/bounded-http';
import { type Clock, parseSocketAddress } from '@lovagearch/common';
import { Client, type Dispatcher } from 'undici';
import {
  CONNECT_TIMEOUT_MS,
  DEFAULT_KEEP_ALIVE_MS,
  KEEP_ALIVE_MARGIN_MS,
  MAX_FRAMING_BYTES,
  MAX_FRAMING_BYTES_PER_BODY_BYTE,
  MAX_RESPONSE_HEADER_BYTES,
  MAX_KEEP_ALIVE_MS,
  OVERDUE_CONNECT_MS,
  UNUSED_CONNECTION_MS,
} from './constants.js';
import type { OpeningResult } from './endpointLife.js';
import { findOpeningFailure, type OpeningProgress } from './openingProgress.js';
import { isFramed } from './isFramed.js';
import type { EndpointRequest, Exchange, ExchangeListener } from './types.js';

/** Code of the error with which the HTTP client closes a connection itself. */
const CLOSED_BY_CLIENT_CODE = 'UND_ERR_INFO';

/** Code of the error for framing without end. */
const FRAMING_CODE = 'ERR_RESPONSE_FRAMING';

/** Code of the error for a status that HTTP doesn't have; the HTTP client passes on three digits of any value. */
const STATUS_CODE = 'ERR_RESPONSE_STATUS';
const MAX_STATUS = 599;

/** Codes of errors for bytes that are no response; those of the HTTP parser begin with `HPE_`. */
const INVALID_RESPONSE_CODE = /^(HPE_|UND_ERR_HEADERS_OVERFLOW$|ERR_RESPONSE_(FRAMING|STATUS)$)/;

const isInvalidResponse = (error: Error): boolean =>
  'code' in error && INVALID_RESPONSE_CODE.test(String(error.code));

type ConnectCallback = (...args: [Error, null] | [null, Socket]) => void;

const classifyOpeningError = (error: Error & { readonly code?: string }): OpeningResult => {
  // The socket wraps a reset in another error.
  const { code } = error.cause instanceof Error ? (error.cause as NodeJS.ErrnoException) : error;
  if (code === 'ECONNREFUSED') return 'refused';
  // Without a listener, the endpoint would have refused; it closes a surplus connection at once.
  return code === 'ECONNRESET' ? 'accepted' : 'failed';
};

/** What the process-wide parts of a connection are. */
export interface ConnectionDependencies {
  /** Limits the chunks that the process handles. */
  readonly pacer: ReadPacer;
  /** A clock that includes suspensions of the VM. */
  readonly clock: Clock;
  /** Returns how late bytes that are read now may be read, in milliseconds. */
  readonly getReadDelayMs: () => number;
}

export interface ConnectionListener {
  /** Called once, when the connection closes. */
  readonly onClosed: (connection: EndpointConnection) => void;
  /** Called if the endpoint closes the connection between two exchanges. */
  readonly onIdleLost: () => void;
  /** Called if the connection is lost in the middle of an exchange. */
  readonly onBroken: () => void;
  /** Called when the connection is established, fails to be, or isn't yet although it is overdue. */
  readonly onOpening: (progress: OpeningProgress) => void;
}

/**
 * One connection to an endpoint, for one exchange at a time. It does not reconnect after it closes.
 */
export class EndpointConnection {
  private socket: Socket | undefined;

  /** Clock reading at which the connection was established. */
  private establishedAtMs: number | undefined;

  /** Whether the connection was opened ahead of its first request and not yet handed over to the HTTP client. */
  private isOpenedAhead = false;

  /** Hands the socket over to the HTTP client, once a connection that was opened ahead is established. */
  private takeOpenedSocket: (() => Socket) | undefined;

  private hasSocketFailed = false;

  private isClosed = false;

  /** Whether the endpoint has ended the connection, which closes in this turn of the event loop. */
  private hasEnded = false;

  /** Whether an exchange is in progress. */
  private isBusy = false;

  /** Bytes that the socket had received at the start of the current exchange. */
  private receivedBeforeBytes = 0;

  /** Body bytes of the current exchange. */
  private bodyBytes = 0;

  private hasPausedReading: () => boolean = () => false;

  private failExchange: ((error: Error) => void) | undefined;

  /** Resumes reading, however it was paused. */
  private resumeReading: (() => void) | undefined;

  private readonly client: Client;

  private constructor(
    private readonly address: string,
    private readonly dependencies: ConnectionDependencies,
    private readonly listener: ConnectionListener,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: ({ hostname, port }, callback) => {
        const { takeOpenedSocket } = this;
        if (takeOpenedSocket === undefined) this.openSocket(hostname, Number(port), callback);
        // The HTTP client sends nothing if it is called back before this call returns.
        else queueMicrotask(() => callback(null, takeOpenedSocket()));
      },
    });
    this.client.on('disconnect', (_origin, _targets, error) => {
      // The HTTP client itself closes connections that have expired or that the endpoint wants closed.
      const isLost = !this.isBusy && !this.isClosed && error.code !== CLOSED_BY_CLIENT_CODE;
      this.close();
      if (isLost) this.listener.onIdleLost();
    });
    this.client.on('connectionError', () => this.close());
  }

  static create(
    address: string,
    dependencies: ConnectionDependencies,
    listener: ConnectionListener,
  ): EndpointConnection {
    return new EndpointConnection(address, dependencies, listener);
  }

  /** Whether the connection is open. */
  get isUsable(): boolean {
    if (this.isClosed || this.hasEnded || this.socket === undefined) return false;
    return !this.socket.destroyed;
  }

  /** Whether the connection is established. */
  get isEstablished(): boolean {
    return this.isUsable && this.socket?.connecting === false;
  }

  /** Whether the end of the connection would be noticed; an exchange that is paused leaves it unread. */
  get isRead(): boolean {
    return !this.hasPausedReading();
  }

  /** Whether the connection is open and was established before a clock reading. */
  isOlderThan(atMs: number): boolean {
    return this.isEstablished && this.establishedAtMs !== undefined && this.establishedAtMs < atMs;
  }

  /**
   * Opens the connection ahead of its first request. It closes if it isn't used soon.
   *
   * @returns what became of it; never `pending`
   */
  open(): Promise<OpeningResult> {
    const address = parseSocketAddress(this.address);
    if (address === undefined) {
      this.close();
      return Promise.resolve('failed');
    }
    this.isOpenedAhead = true;
    return new Promise((resolve) => {
      this.openSocket(address.host, address.port, (error, socket) => {
        if (error === null) {
          this.trackUntilUsed(socket);
          resolve('accepted');
          return;
        }
        this.close();
        resolve(classifyOpeningError(error));
      });
    });
  }

  /** Closes the connection and fails the exchange in progress. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.listener.onClosed(this);
    // After a plain close, the kernel would still send the rest of an abandoned request over a slow link.
    if (this.isBusy && this.socket?.connecting === false) this.socket.resetAndDestroy();
    // The HTTP client doesn't know a connection that no request has used.
    if (this.isOpenedAhead) this.socket?.destroy();
    // The listener has already been notified of this error.
    this.client.destroy().catch(() => undefined);
  }

  /**
   * Sends a request. After `onEnd`, the connection can be reused unless it has closed.
   *
   * @param onReleased called when the exchange has ended and the connection can be reused
   */
  send(
    request: EndpointRequest,
    listener: ExchangeListener,
    onReleased: (connection: EndpointConnection) => void,
  ): Exchange {
    let isSent = false;
    let isSettled = false;
    this.isBusy = true;
    let controller: Dispatcher.DispatchController | undefined;
    let isPausedByListener = false;
    const reader = PacedReader.create(this.dependencies.pacer, {
      pause: () => controller?.pause(),
      resume: () => {
        if (!isPausedByListener) controller?.resume();
      },
    });
    const fail = (error: Error) => {
      if (isSettled) return;
      isSettled = true;
      reader.finish();
      const reason = error.message;
      listener.onFailure(
        isSent
          ? { type: 'broken', reason, isInvalid: isInvalidResponse(error) }
          : { type: 'not_sent', reason },
      );
      if (isSent && !isInvalidResponse(error)) this.listener.onBroken();
      this.close();
    };
    this.receivedBeforeBytes = this.socket?.bytesRead ?? 0;
    this.bodyBytes = 0;
    this.failExchange = fail;
    this.hasPausedReading = () => !isSettled && (isPausedByListener || reader.isPaused);
    this.resumeReading = () => controller?.resume();
    let hasFramedEnd = true;
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (startController) => {
        controller = startController;
        // After some failures, undici resends a request that the endpoint may already have executed.
        if (isSettled || isSent)
          startController.abort(new Error('prevented the HTTP client from resending the request'));
        else if (listener.canSend()) isSent = true;
        else {
          isSettled = true;
          const reason = 'endpoint takes no more requests';
          listener.onFailure({ type: 'withdrawn', reason });
          this.close();
          startController.abort(new Error(reason));
        }
      },
      onResponseStart: (_controller, status, headers) => {
        reader.recordChunks(1);
        if (status > MAX_STATUS) {
          const error = new Error(`response has the invalid status ${status}`);
          fail(Object.assign(error, { code: STATUS_CODE }));
          return;
        }
        hasFramedEnd = isFramed(request.method, status, headers);
        if (!isSettled && status >= 200) listener.onHeaders(status, headers);
      },
      onResponseData: (_controller, chunk) => {
        this.bodyBytes += chunk.length;
        // The HTTP client passes on an empty chunk when reading resumes.
        if (isSettled || chunk.length === 0) return;
        reader.recordChunks(1);
        listener.onData(chunk);
      },
      onResponseEnd: () => {
        if (isSettled) return;
        // For a response without a length, undici reports a connection reset as a normal end.
        if (this.hasSocketFailed) {
          fail(new Error('connection reset before the end of the response'));
          return;
        }
        isSettled = true;
        reader.finish();
        this.isBusy = false;
        if (!hasFramedEnd) {
          this.hasEnded = true;
          // The HTTP client can't be closed from within this call.
          setImmediate(() => this.close());
          const unreadForMs = this.dependencies.getReadDelayMs();
          listener.onEnd({ type: 'connection', unreadForMs });
          return;
        }
        listener.onEnd({ type: 'framing' });
        // If the endpoint sends extra bytes after the response, undici closes the connection.
        setImmediate(() => {
          if (this.isUsable) onReleased(this);
          else this.close();
        });
      },
      onResponseError: (_controller, error) => fail(error),
    };
    const dispatch = () =>
      this.client.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: [...request.createHeaders()],
          body: request.body ?? null,
        },
        handler,
      );
    if (this.socket === undefined) this.openForRequest(dispatch, fail);
    else dispatch();
    // A new connection gets its socket after this call.
    const getUnsentBytes = () => (this.socket === undefined ? 0 : readUnsentBytes(this.socket));
    return {
      get isSent() {
        return isSent;
      },
      get unsentBytes() {
        return getUnsentBytes();
      },
      cancel: () => {
        if (isSettled) return;
        isSettled = true;
        reader.finish();
        this.close();
        controller?.abort(new Error('cancelled'));
      },
      pause: () => {
        isPausedByListener = true;
        controller?.pause();
      },
      resume: () => {
        isPausedByListener = false;
        if (!reader.isPaused) controller?.resume();
      },
      recordWork: (units) => reader.recordChunks(units),
    };
  }

  /** Opens the connection for its first request, which the HTTP client gets once the connection is established. */
  private openForRequest(dispatch: () => void, fail: (error: Error) => void): void {
    const address = parseSocketAddress(this.address);
    if (address === undefined) {
      fail(new Error('the address is invalid'));
      return;
    }
    this.isOpenedAhead = true;
    this.openSocket(address.host, address.port, (error, socket) => {
      if (error !== null) {
        fail(error);
        return;
      }
      this.takeOpenedSocket = () => {
        this.takeOpenedSocket = undefined;
        this.isOpenedAhead = false;
        return socket;
      };
      dispatch();
    });
  }

  /**
   * Fails an exchange whose response consists of framing without end, such as a status line or chunk
   * extensions. The HTTP client limits only headers and skips the rest.
   */
  private checkFraming(socket: Socket): void {
    const receivedBytes = socket.bytesRead - this.receivedBeforeBytes;
    const limitBytes = MAX_FRAMING_BYTES + this.bodyBytes * (1 + MAX_FRAMING_BYTES_PER_BODY_BYTE);
    if (receivedBytes <= limitBytes) return;
    const error = new Error(`response framing exceeds ${MAX_FRAMING_BYTES} bytes`);
    this.failExchange?.(Object.assign(error, { code: FRAMING_CODE }));
  }

  /** Notices the end of a connection that no request has used, until the HTTP client reads from it. */
  private trackUntilUsed(socket: Socket): void {
    const timer = setTimeout(() => this.close(), UNUSED_CONNECTION_MS);
    const handleReadable = () => {
      // Without a request, the endpoint has nothing to send.
      if (socket.read() !== null) this.close();
    };
    // An endpoint with too many connections closes surplus ones, so that this is no sign of a crash.
    const handleClose = () => {
      clearTimeout(timer);
      this.close();
    };
    socket.on('readable', handleReadable);
    socket.once('close', handleClose);
    this.takeOpenedSocket = () => {
      clearTimeout(timer);
      socket.off('readable', handleReadable);
      socket.off('close', handleClose);
      this.takeOpenedSocket = undefined;
      this.isOpenedAhead = false;
      return socket;
    };
  }

  private reportOpening(error: Error | null, afterMs: number): void {
    if (error === null) {
      this.listener.onOpening({ type: 'established' });
      return;
    }
    const cause = findOpeningFailure(error, afterMs);
    if (cause !== undefined) this.listener.onOpening({ type: 'failed', cause, afterMs });
  }

  private openSocket(host: string, port: number, callback: ConnectCallback): void {
    const socket = openBoundedSocket(host, port);
    this.socket = socket;
    const { clock } = this.dependencies;
    const beganAtMs = clock.nowMs();
    let hasCalledBack = false;
    let timer: NodeJS.Timeout | undefined;
    const handleTimeout = () =>
      socket.destroy(new Error(`connection not established within ${CONNECT_TIMEOUT_MS} ms`));
    const handleOverdue = () => {
      timer = setTimeout(handleTimeout, CONNECT_TIMEOUT_MS - OVERDUE_CONNECT_MS);
      // After a delay of the event loop, timers expire before established connections are noticed.
      setImmediate(() => {
        if (!hasCalledBack)
          this.listener.onOpening({ type: 'overdue', afterMs: clock.nowMs() - beganAtMs });
      });
    };
    timer = setTimeout(handleOverdue, OVERDUE_CONNECT_MS);
    const settle = (...args: [Error, null] | [null, Socket]) => {
      if (hasCalledBack) return;
      hasCalledBack = true;
      clearTimeout(timer);
      this.reportOpening(args[0], clock.nowMs() - beganAtMs);
      callback(...args);
    };
    socket.on('error', (error) => {
      this.hasSocketFailed = true;
      settle(error, null);
    });
    socket.once('end', () => {
      // libuv reports a reset that arrives together with data as the end of the stream. After a reset,
      // the socket no longer has a remote port; after a normal end it still does.
      if (socket.remotePort === undefined) this.hasSocketFailed = true;
      // The HTTP client throws if a response ends with its connection while it is paused.
      this.resumeReading?.();
    });
    socket.once('close', () => settle(new Error('connection closed while connecting'), null));
    socket.on('readable', () => this.checkFraming(socket));
    socket.once('connect', () => {
      this.establishedAtMs = this.dependencies.clock.nowMs();
      settle(null, socket);
    });
  }
}
