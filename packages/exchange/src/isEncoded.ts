const PLAIN_CODINGS: ReadonlySet<string> = new Set(['', 'chunked', 'identity']);

/**
 * Returns whether the body of a response is encoded, for its content or for its transfer. Chunks are no encoding.
 *
 * @param headers headers of the response, names in lower case
 * @example
 * isEncoded({ 'transfer-encoding': 'gzip, chunked' }); // true
 * isEncoded({ 'transfer-encoding': 'chunked' }); // false
 */
export const isEncoded = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean => {
  if (headers['content-encoding'] !== undefined) return true;
  const codings = String(headers['transfer-encoding'] ?? '').split(',');
  return codings.some((coding) => !PLAIN_CODINGS.has(coding.trim().toLowerCase()));
};
