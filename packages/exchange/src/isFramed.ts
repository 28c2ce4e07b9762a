const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Returns whether the end of a response shows in the response itself: by a length, by chunks, or because it has no body.
 *
 * @param headers headers of the response, names in lower case
 * @example
 * isFramed('GET', 200, { 'content-length': '5' }); // true
 * isFramed('GET', 200, {}); // false
 */
export const isFramed = (
  method: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean =>
  method === 'HEAD' ||
  status === NO_CONTENT ||
  status === NOT_MODIFIED ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;
