import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { AccountId, Fingerprint, RequestId } from '@lovagearch/common';
import type { PlainServiceView, ServiceRoute } from './callerConfiguration.js';

/** A validated call to a plain service, with the route that it matches. */
export interface ServiceCall {
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly service: PlainServiceView;
  readonly route: ServiceRoute;
  readonly method: string;
  /** Path and query, as sent to the service. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array | undefined;
  readonly idempotencyKey: string | undefined;
  readonly fingerprint: Fingerprint;
}

/**
 * Computes the hash by which a reused idempotency key is checked against the original call. It
 * covers the service, method, path with query, content type and body.
 */
export const computeCallHash = (
  call: Pick<ServiceCall, 'body' | 'headers' | 'method' | 'path' | 'service'>,
): string =>
  createHash('sha256')
    .update(
      JSON.stringify([call.service.id, call.method, call.path, call.headers['content-type'] ?? '']),
    )
    .update(call.body ?? new Uint8Array())
    .digest('hex');
