const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** What stands between two empty lines of a stream. */
export type StreamPiece =
  /** Lines that readers ignore. */
  | { readonly type: 'comment' }
  | { readonly type: 'event'; readonly id: number }
  /** Neither, so that it is no part of a stream of events with increasing ids. */
  | { readonly type: 'invalid'; readonly reason: 'line' | 'no_data' | 'no_id' };

const NUMERIC_ID = /^\d{1,15}$/;
const EVENT_FIELDS: ReadonlySet<string> = new Set(['data', 'event', 'id', 'retry']);
/** Characters of a field's name that are looked at. */
const MAX_FIELD_NAME_LENGTH = 64;
/** Names of fields that readers ignore. */
const OTHER_FIELD = /^[a-z][a-z0-9-]*$/;

/** Yields the lines of a piece that aren't empty; a carriage return ends a line without a line feed as well. */
function* readLines(bytes: Buffer): Generator<Buffer> {
  for (let start = 0; start < bytes.length;) {
    const feed = bytes.indexOf(LINE_FEED, start);
    const end = feed < 0 ? bytes.length : feed;
    const line = bytes.subarray(start, end);
    for (let partStart = 0; partStart < line.length;) {
      const found = line.indexOf(CARRIAGE_RETURN, partStart);
      const partEnd = found < 0 ? line.length : found;
      if (partEnd > partStart) yield line.subarray(partStart, partEnd);
      partStart = partEnd + 1;
    }
    start = end + 1;
  }
}

/**
 * Reads what stands between two empty lines of a stream. As for readers of a stream, the last `id` field counts, one that
 * contains NUL is ignored, and an event has data.
 *
 * @example
 * readEvent(Buffer.from('id: 12\ndata: a\n\n')); // { type: 'event', id: 12 }
 */
export const readEvent = (bytes: Buffer): StreamPiece => {
  let id: string | undefined;
  let hasData = false;
  let hasFields = false;
  for (const line of readLines(bytes)) {
    if (line[0] === COLON) continue;
    hasFields = true;
    const colon = line.indexOf(COLON);
    const nameEnd = colon < 0 ? line.length : colon;
    const name = line.toString('latin1', 0, Math.min(nameEnd, MAX_FIELD_NAME_LENGTH));
    if (!EVENT_FIELDS.has(name) && (colon < 0 || !OTHER_FIELD.test(name)))
      return { type: 'invalid', reason: 'line' };
    if (name === 'data') hasData = true;
    if (name !== 'id') continue;
    const value = line.toString('latin1', nameEnd + 1);
    if (!value.includes('\0')) id = value.trim();
  }
  if (!hasFields) return { type: 'comment' };
  if (id === undefined || !NUMERIC_ID.test(id)) return { type: 'invalid', reason: 'no_id' };
  return hasData ? { type: 'event', id: Number(id) } : { type: 'invalid', reason: 'no_data' };
};
