/** A request as it is written to an endpoint. */
export interface EndpointRequest {
  readonly method: string;
  /** Path and query, unchanged from the caller's. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/**
 * Why there is no whole answer. `not_sent` proves that no byte of the request reached the endpoint;
 * after `broken` it may have run.
 */
export type ExchangeFailure =
  | { readonly type: 'broken'; readonly reason: string }
  | { readonly type: 'not_sent'; readonly reason: string };

/** Receives the events of one exchange. Either `onEnd` or `onFailure` is called, once, unless cancelled. */
export interface ExchangeListener {
  readonly onHeaders: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

/** An exchange under way. */
export interface Exchange {
  /** Whether bytes of the request may have left. */
  readonly isSent: boolean;
  /** Stops the exchange and closes its connection, which cancels the work at the endpoint. */
  readonly cancel: () => void;
  /** Stops reading from the endpoint until `resume`. */
  readonly pause: () => void;
  readonly resume: () => void;
}
