import type { ResultAsync } from 'neverthrow';
import { z } from 'zod';

export const serviceHealthSchema = z.object({
  state: z.enum(['ready', 'draining']),
  load: z.object({ active: z.number().nonnegative(), queued: z.number().nonnegative() }),
});
export type ServiceHealth = z.infer<typeof serviceHealthSchema>;

export interface ServiceRequest {
  readonly method: string;
  /** Path with query, beginning with a slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly timeoutMs: number;
  /**
   * Opens a connection for this call alone. Needed for non-idempotent calls: on a kept connection
   * that the far side has closed it can't be decided whether bytes were sent.
   */
  readonly freshConnection?: boolean;
}

export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * `not_connected` proves that no byte of the request was sent. After `connection_lost`, `timeout`
 * and `response_too_large` the outcome is unknown.
 */
export type ServiceError =
  | { readonly type: 'not_connected'; readonly message: string }
  | { readonly type: 'connection_lost'; readonly message: string }
  | { readonly type: 'timeout'; readonly timeoutMs: number }
  | { readonly type: 'response_too_large'; readonly limitBytes: number };

/** Calls plain services, once for each call; it never repeats one. */
export interface ServiceClient {
  readonly send: (
    url: string,
    request: ServiceRequest,
  ) => ResultAsync<ServiceResponse, ServiceError>;
  readonly readHealth: (url: string) => ResultAsync<ServiceHealth, ServiceError>;
  readonly close: () => Promise<void>;
}
