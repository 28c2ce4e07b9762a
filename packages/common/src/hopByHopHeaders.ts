/**
 * Headers that apply to a single connection (RFC 9110, section 7.6.1), and headers that HTTP
 * libraries set by themselves. They are never forwarded.
 */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
