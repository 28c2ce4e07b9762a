import { HOP_BY_HOP_HEADERS } from '@lovagearch/common';

/** Returns the headers to forward, in lower case and without `Host` and hop-by-hop headers. */
export const selectRequestHeaders = (
  headers: Readonly<Record<string, string>>,
): Record<string, string> => {
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerName = name.toLowerCase();
    // The HTTP client sets the `Host` header.
    const isDropped = lowerName === 'host' || HOP_BY_HOP_HEADERS.has(lowerName);
    if (!isDropped) selected[lowerName] = value;
  }
  return selected;
};

/** Joins the values of repeated response headers with commas. */
export const formatResponseHeaders = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> => {
  const formatted: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    formatted[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return formatted;
};

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** Without chunks as the last transfer coding, a response ends with its connection. */
const isChunked = (transferEncoding: unknown): boolean =>
  /(?:^|[\s,])chunked\s*$/i.test(String(transferEncoding));

/** Returns false if a truncated response could not be distinguished from a complete one. */
export const isSelfDelimited = (
  method: string,
  status: number,
  headers: Readonly<Record<string, unknown>>,
): boolean =>
  method.toUpperCase() === 'HEAD' ||
  STATUSES_WITHOUT_BODY.has(status) ||
  isChunked(headers['transfer-encoding']) ||
  (headers['content-length'] !== undefined && headers['transfer-encoding'] === undefined);
