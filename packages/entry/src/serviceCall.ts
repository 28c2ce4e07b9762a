import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { AccountId, Fingerprint, RequestId } from '@lovagearch/common';
import type { PlainServiceView, ServiceRoute } from './callerConfiguration.js';

/** One call of a caller to a plain service, checked and with its route. */
export interface ServiceCall {
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly service: PlainServiceView;
  readonly route: ServiceRoute;
  readonly method: string;
  /** Path with query, as the service receives it. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array | undefined;
  readonly idempotencyKey: string | undefined;
  readonly fingerprint: Fingerprint;
}

/**
 * Computes the hash that tells whether a repeated idempotency key comes with the same call. It
 * covers service, method, path, content type and body.
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
