import type { ResultAsync } from 'neverthrow';
import { z } from 'zod';

export const serviceHealthSchema = z.object({
  state: z.enum(['ready', 'draining']),
  load: z.object({ active: z.number().nonnegative(), queued: z.number().nonnegative() }),
});
export type ServiceHealth = z.infer<typeof serviceHealthSchema>;

export interface ServiceRequest {
  readonly method: string;
  /** Path and query, starting with a slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly timeoutMs: number;
  /**
   * Opens a new connection for this request only. Required for non-idempotent requests: on a pooled
   * connection that the service has closed, it can't be determined whether bytes were sent.
   */
  readonly freshConnection?: boolean;
}

export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * `not_connected` guarantees that no byte of the request was sent. After `connection_lost`, `timeout`
 * and `response_too_large`, the outcome is unknown.
 */
export type ServiceError =
  | { readonly type: 'not_connected'; readonly message: string }
  | { readonly type: 'connection_lost'; readonly message: string }
  | { readonly type: 'timeout'; readonly timeoutMs: number }
  | { readonly type: 'response_too_large'; readonly limitBytes: number };

/** Sends requests to plain services. Each request is sent once and never retried. */
export interface ServiceClient {
  readonly send: (
    url: string,
    request: ServiceRequest,
  ) => ResultAsync<ServiceResponse, ServiceError>;
  readonly readHealth: (url: string) => ResultAsync<ServiceHealth, ServiceError>;
  readonly close: () => Promise<void>;
}
