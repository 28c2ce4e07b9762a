import type { Socket } from 'node:net';
import { openBoundedSocket, PacedReader, type ReadPacer } from '@lovagearch/bounded-http';
import { Client, type Dispatcher } from 'undici';
import {
  CONNECT_TIMEOUT_MS,
  DEFAULT_KEEP_ALIVE_MS,
  KEEP_ALIVE_MARGIN_MS,
  MAX_FRAMING_BYTES,
  MAX_FRAMING_BYTES_PER_BODY_BYTE,
  MAX_RESPONSE_HEADER_BYTES,
  MAX_KEEP_ALIVE_MS,
} from './constants.js';
import type { EndpointRequest, Exchange, ExchangeListener } from './types.js';

/** Code of the error with which the HTTP client closes a connection itself. */
const CLOSED_BY_CLIENT_CODE = 'UND_ERR_INFO';

/** Code of the error for framing without end. */
const FRAMING_CODE = 'ERR_RESPONSE_FRAMING';

/** Codes of errors for bytes that are no response; those of the HTTP parser begin with `HPE_`. */
const INVALID_RESPONSE_CODE = /^(HPE_|UND_ERR_HEADERS_OVERFLOW$|ERR_RESPONSE_FRAMING$)/;

const isInvalidResponse = (error: Error): boolean =>
  'code' in error && INVALID_RESPONSE_CODE.test(String(error.code));

/**
 * One connection to an endpoint, for one exchange at a time. It does not reconnect after it closes.
 */
export class EndpointConnection {
  private socket: Socket | undefined;

  private hasSocketFailed = false;

  private isClosed = false;

  /** Whether an exchange is in progress. */
  private isBusy = false;

  /** Bytes that the socket had received at the start of the current exchange. */
  private receivedBeforeBytes = 0;

  /** Body bytes of the current exchange. */
  private bodyBytes = 0;

  private failExchange: ((error: Error) => void) | undefined;

  private readonly client: Client;

  private constructor(
    address: string,
    private readonly pacer: ReadPacer,
    private readonly onClosed: (connection: EndpointConnection) => void,
    private readonly onIdleLost: () => void,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: (options, callback) =>
        this.openSocket(options.hostname, Number(options.port), callback),
    });
    this.client.on('disconnect', (_origin, _targets, error) => {
      // The HTTP client itself closes connections that have expired or that the endpoint wants closed.
      const isLost = !this.isBusy && !this.isClosed && error.code !== CLOSED_BY_CLIENT_CODE;
      this.close();
      if (isLost) this.onIdleLost();
    });
    this.client.on('connectionError', () => this.close());
  }

  /**
   * @param pacer limits the chunks that the process handles
   * @param onClosed called once, when the connection closes
   * @param onIdleLost called if the endpoint closes the connection between two exchanges
   */
  static create(
    address: string,
    pacer: ReadPacer,
    onClosed: (connection: EndpointConnection) => void,
    onIdleLost: () => void = () => undefined,
  ): EndpointConnection {
    return new EndpointConnection(address, pacer, onClosed, onIdleLost);
  }

  /** Whether the connection is open. */
  get isUsable(): boolean {
    return !this.isClosed && this.socket !== undefined && !this.socket.destroyed;
  }

  /** Whether the connection is established. */
  get isEstablished(): boolean {
    return this.isUsable && this.socket?.connecting === false;
  }

  /** Closes the connection and fails the exchange in progress. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.onClosed(this);
    // After a plain close, the kernel would still send the rest of an abandoned request over a slow link.
    if (this.isBusy && this.socket?.connecting === false) this.socket.resetAndDestroy();
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
    const reader = PacedReader.create(this.pacer, {
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
      this.close();
    };
    this.receivedBeforeBytes = this.socket?.bytesRead ?? 0;
    this.bodyBytes = 0;
    this.failExchange = fail;
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
        if (!isSettled && status >= 200) listener.onHeaders(status, headers);
      },
      onResponseData: (_controller, chunk) => {
        this.bodyBytes += chunk.length;
        if (isSettled) return;
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
        listener.onEnd();
        // If the endpoint sends extra bytes after the response, undici closes the connection.
        setImmediate(() => {
          if (this.isUsable) onReleased(this);
          else this.close();
        });
      },
      onResponseError: (_controller, error) => fail(error),
    };
    this.client.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: [...request.headers],
        body: request.body ?? null,
      },
      handler,
    );
    return {
      get isSent() {
        return isSent;
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

  private openSocket(
    host: string,
    port: number,
    callback: (...args: [Error, null] | [null, Socket]) => void,
  ): void {
    const socket = openBoundedSocket(host, port);
    this.socket = socket;
    const timer = setTimeout(() => {
      socket.destroy(new Error(`connection not established within ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);
    let hasCalledBack = false;
    const settle = (...args: [Error, null] | [null, Socket]) => {
      if (hasCalledBack) return;
      hasCalledBack = true;
      clearTimeout(timer);
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
    });
    socket.once('close', () => settle(new Error('connection closed while connecting'), null));
    socket.on('readable', () => this.checkFraming(socket));
    socket.once('connect', () => settle(null, socket));
  }
}
