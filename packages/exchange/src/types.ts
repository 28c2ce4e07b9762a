/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /**
   * Returns alternating names and values. Called once the connection is open, so that a time limit in them leaves out the
   * time that opening it took.
   */
  readonly createHeaders: () => readonly string[];
  readonly body: Buffer | undefined;
  /**
   * Whether the endpoint has received a request with the same id before. Such a request gets a new
   * connection, as a repeated response to the earlier one would look like its own.
   */
  readonly isRepeat: boolean;
}

/**
 * Why there is no complete response. `not_sent` guarantees that no byte of the request reached the
 * endpoint; after `broken`, the request may have run. `withdrawn`: no byte was sent, as `canSend` forbade it.
 */
export type ExchangeFailure =
  | {
      readonly type: 'broken';
      readonly reason: string;
      /** Whether the endpoint sent bytes that are no response, in contrast to a lost connection. */
      readonly isInvalid: boolean;
    }
  | { readonly type: 'not_sent'; readonly reason: string }
  | { readonly type: 'withdrawn'; readonly reason: string };

/**
 * What showed the end of a response. `framing`: its length, its last chunk, or a status without a body. `connection`:
 * only the end of the connection, which a process that is killed leaves behind as well.
 */
export type ResponseEnd =
  | { readonly type: 'framing' }
  | {
      readonly type: 'connection';
      /** Time for which the end may have waited until it was read, in milliseconds. */
      readonly unreadForMs: number;
    };

/** Receives the response of an exchange. Unless cancelled, exactly one of `onEnd` and `onFailure` is called. */
export interface ExchangeListener {
  /** Called before the first byte is sent, which a new connection can delay; false withdraws the request. */
  readonly canSend: () => boolean;
  readonly onHeaders: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: (end: ResponseEnd) => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

/** An exchange in progress. */
export interface Exchange {
  /** Whether bytes of the request may have been sent. */
  readonly isSent: boolean;
  /** Bytes of the request that the kernel has not taken; 0 once the connection is closed. */
  readonly unsentBytes: number;
  /** Aborts the exchange and closes its connection, which cancels the work at the endpoint. */
  readonly cancel: () => void;
  /** Stops reading the response until `resume` is called. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Counts further work that received bytes caused, such as events, like that many chunks. */
  readonly recordWork: (units: number) => void;
}
