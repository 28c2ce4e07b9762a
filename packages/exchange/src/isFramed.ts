const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Without chunks as the last transfer coding, a response ends with its connection. */
const isChunked = (transferEncoding: string | string[]): boolean =>
  /(?:^|[\s,])chunked\s*$/i.test(String(transferEncoding));

/**
 * Returns whether the end of a response shows in the response itself: by a length, by chunks, or because it has no body.
 * A length beside a transfer coding is ignored.
 *
 * @param headers headers of the response, names in lower case
 * @example
 * isFramed('GET', 200, { 'content-length': '5' }); // true
 * isFramed('GET', 200, {}); // false
 * isFramed('GET', 200, { 'transfer-encoding': 'gzip' }); // false
 */
export const isFramed = (
  method: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean => {
  if (method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) return true;
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  return coding === undefined ? length !== undefined : isChunked(coding);
};
