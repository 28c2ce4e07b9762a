import { MAX_EVENT_BYTES } from './constants.js';

const EVENT_TERMINATOR = '\n\n';
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD_PREFIX = 'id:';

/** Complete events of a stream and the last numeric event id so far, if there is one. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: number | undefined;
}

export type FramingError =
  | { readonly type: 'event_too_large' }
  | { readonly type: 'order'; readonly previousId: number; readonly id: number };

export type FramingResult =
  | { readonly type: 'events'; readonly events: CompleteEvents }
  | { readonly type: 'fault'; readonly fault: FramingError }
  | { readonly type: 'incomplete' };

/** Returns the numeric id of an event (`id: 12`), or undefined if it has none. */
const readEventId = (bytes: Buffer, start: number, end: number): number | undefined => {
  for (let lineStart = start; lineStart < end;) {
    let lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0 || lineEnd > end) lineEnd = end;
    if (
      bytes.toString('latin1', lineStart, lineStart + ID_FIELD_PREFIX.length) === ID_FIELD_PREFIX
    ) {
      const textEnd = bytes[lineEnd - 1] === CARRIAGE_RETURN ? lineEnd - 1 : lineEnd;
      const text = bytes.toString('latin1', lineStart + ID_FIELD_PREFIX.length, textEnd).trim();
      return /^\d{1,15}$/.test(text) ? Number(text) : undefined;
    }
    lineStart = lineEnd + 1;
  }
  return undefined;
};

/**
 * Splits a stream of server-sent events into complete events, so that a stream that breaks off inside
 * an event can be resumed at another endpoint. Event ids have to increase, also after a resumption.
 *
 * @example
 * const framer = EventStreamFramer.create(12);
 * const result = framer.addChunk(chunk);
 * if (result.type === 'events') caller.write(result.events.bytes);
 */
export class EventStreamFramer {
  private partialEvent: Buffer | undefined;

  private constructor(private lastId: number) {}

  /** @param lastId id of the last event that the caller has received; 0 for a new stream */
  static create(lastId: number): EventStreamFramer {
    return new EventStreamFramer(lastId);
  }

  /** Id of the last complete event; 0 if there was none. */
  get lastEventId(): number {
    return this.lastId;
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent !== undefined;
  }

  /** Discards an incomplete event; the next endpoint sends it again from its beginning. */
  discardPartialEvent(): void {
    this.partialEvent = undefined;
  }

  addChunk(chunk: Buffer): FramingResult {
    const bytes =
      this.partialEvent === undefined ? chunk : Buffer.concat([this.partialEvent, chunk]);
    let start = 0;
    for (
      let end = bytes.indexOf(EVENT_TERMINATOR, 0, 'latin1');
      end >= 0;
      end = bytes.indexOf(EVENT_TERMINATOR, start, 'latin1')
    ) {
      const id = readEventId(bytes, start, end);
      if (id !== undefined) {
        if (id <= this.lastId) {
          return { type: 'fault', fault: { type: 'order', previousId: this.lastId, id } };
        }
        this.lastId = id;
      }
      start = end + EVENT_TERMINATOR.length;
    }
    this.partialEvent = start < bytes.length ? bytes.subarray(start) : undefined;
    if (this.partialEvent !== undefined && this.partialEvent.length > MAX_EVENT_BYTES) {
      return { type: 'fault', fault: { type: 'event_too_large' } };
    }
    if (start === 0) return { type: 'incomplete' };
    const lastId = this.lastId > 0 ? this.lastId : undefined;
    return { type: 'events', events: { bytes: bytes.subarray(0, start), lastId } };
  }
}
