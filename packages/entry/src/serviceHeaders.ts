import type { IncomingHttpHeaders } from 'node:http';
import { HOP_BY_HOP_HEADERS } from '@lovagearch/common';

/** Request headers that the entry process sets itself or that contain the caller's credentials. */
const REPLACED_REQUEST_HEADERS = new Set([
  'authorization',
  'cookie',
  'host',
  'idempotency-key',
  'x-account',
  'x-request-id',
]);

const parseNominatedHeaders = (connection: string | undefined): Set<string> =>
  new Set((connection ?? '').split(',').map((name) => name.trim().toLowerCase()));

/** Values of the headers that the entry process adds to a call. */
export interface CallIdentity {
  readonly requestId: string;
  readonly account: string;
  readonly idempotencyKey: string | undefined;
  readonly serviceToken: string | undefined;
}

/** Builds the headers of a call to a plain service. The caller's API key is never forwarded. */
export const buildCallHeaders = (
  received: IncomingHttpHeaders,
  identity: CallIdentity,
): Record<string, string> => {
  const headers: Record<string, string> = {};
  const nominated = parseNominatedHeaders(received.connection);
  for (const [name, value] of Object.entries(received)) {
    if (value === undefined || REPLACED_REQUEST_HEADERS.has(name)) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || nominated.has(name)) continue;
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  headers['x-request-id'] = identity.requestId;
  headers['x-account'] = identity.account;
  if (identity.idempotencyKey !== undefined) headers['idempotency-key'] = identity.idempotencyKey;
  if (identity.serviceToken !== undefined) {
    headers.authorization = `Bearer ${identity.serviceToken}`;
  }
  return headers;
};

/** Selects the headers of a service's response that are sent to the caller and recorded in runs. */
export const selectResponseHeaders = (
  received: Readonly<Record<string, string>>,
): Record<string, string> => {
  const headers: Record<string, string> = {};
  const nominated = parseNominatedHeaders(received.connection);
  for (const [name, value] of Object.entries(received)) {
    const lowerName = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lowerName) || nominated.has(lowerName)) continue;
    if (lowerName !== 'x-request-id') headers[lowerName] = value;
  }
  return headers;
};
