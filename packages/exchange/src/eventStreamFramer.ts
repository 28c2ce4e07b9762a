import { BodyBuffer, MemoryBudget } from '@lovagearch/bounded-http';
import { MAX_EVENT_BYTES } from './constants.js';
import { EventIdHistory } from './eventIdHistory.js';
import { EventScanner } from './eventScanner.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Complete events of a stream and the last numeric event id so far, if there is one. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: number | undefined;
  readonly count: number;
}

export type FramingError =
  | { readonly type: 'event_too_large' }
  /** The memory of the process for incomplete events is in use. */
  | { readonly type: 'no_memory' }
  | { readonly type: 'response_head' }
  | { readonly type: 'order'; readonly previousId: number; readonly id: number };

export type FramingResult =
  | { readonly type: 'events'; readonly events: CompleteEvents }
  | { readonly type: 'fault'; readonly fault: FramingError }
  | { readonly type: 'incomplete' };

const ID_FIELD = Buffer.from('id');
/** Events with an id that show whether the ids of a stream rise by one. */
const MIN_JUDGED_EVENTS = 2;
const NUMERIC_ID = /^\d{1,15}$/;

/** Whether a line ends at a position; a carriage return ends it without a line feed as well. */
const isLineEnd = (bytes: Buffer, position: number): boolean =>
  position < 0 ||
  position >= bytes.length ||
  bytes[position] === LINE_FEED ||
  bytes[position] === CARRIAGE_RETURN;

/**
 * Returns the numeric id of an event (`id: 12`), or undefined if it has none. As for readers of a stream, the last
 * `id` field counts, and one that contains NUL is ignored.
 */
const readEventId = (event: Buffer): number | undefined => {
  let id: string | undefined;
  for (let start = event.indexOf(ID_FIELD); start >= 0;) {
    const nameEnd = start + ID_FIELD.length;
    let end = nameEnd;
    if (isLineEnd(event, start - 1) && (event[nameEnd] === COLON || isLineEnd(event, nameEnd))) {
      while (!isLineEnd(event, end)) end += 1;
      const value = event.toString('latin1', nameEnd + 1, Math.max(end, nameEnd + 1));
      if (!value.includes('\0')) id = value.trim();
    }
    start = event.indexOf(ID_FIELD, end);
  }
  return id !== undefined && NUMERIC_ID.test(id) ? Number(id) : undefined;
};

/** The start of an HTTP response, which may follow a stream without a length on its connection. */
const RESPONSE_HEAD_START = 'HTTP/1.';

/** Whether an event consists of comments and empty lines only. */
const isComment = (bytes: Buffer, start: number, end: number): boolean => {
  for (let lineStart = start; lineStart < end;) {
    const first = bytes[lineStart];
    if (first !== COLON && first !== LINE_FEED && first !== CARRIAGE_RETURN) return false;
    const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) return true;
    lineStart = lineEnd + 1;
  }
  return true;
};

/** The position of the next event in a chunk, with the id of the event before it. */
interface FramingPosition {
  readonly start: number;
  readonly lastId: number;
  /** Whether events without an id follow the last one that has an id. */
  readonly hasUnnumberedEvents: boolean;
  /** Number of events with an id so far. */
  readonly numberedEvents: number;
  /**
   * Whether each id was the successor of the one before; undefined before the first event, unless the service is
   * known to number its events so.
   */
  readonly isSuccessive: boolean | undefined;
}

type EventCheck =
  | { readonly type: 'fault'; readonly fault: FramingError }
  | { readonly type: 'position'; readonly position: FramingPosition };

const hasResponseHead = (event: Buffer): boolean =>
  event.toString('latin1', 0, RESPONSE_HEAD_START.length) === RESPONSE_HEAD_START ||
  event.includes(`\n${RESPONSE_HEAD_START}`, 0, 'latin1');

/** Checks the event between a position and `end`, where the next one starts. */
const checkEvent = (bytes: Buffer, previous: FramingPosition, end: number): EventCheck => {
  const { start, lastId, numberedEvents, isSuccessive } = previous;
  const event = bytes.subarray(start, end);
  const id = readEventId(event);
  if (hasResponseHead(event)) return { type: 'fault', fault: { type: 'response_head' } };
  if (id === undefined) {
    const hasUnnumberedEvents = previous.hasUnnumberedEvents || !isComment(bytes, start, end);
    return { type: 'position', position: { ...previous, start: end, hasUnnumberedEvents } };
  }
  const isSuccessor = id === lastId + 1;
  if (id <= lastId || (isSuccessive === true && !isSuccessor))
    return { type: 'fault', fault: { type: 'order', previousId: lastId, id } };
  const position = {
    start: end,
    lastId: id,
    hasUnnumberedEvents: false,
    numberedEvents: numberedEvents + 1,
    isSuccessive: isSuccessor && isSuccessive !== false,
  };
  return { type: 'position', position };
};

/**
 * Splits a stream of server-sent events into complete events, so that a stream that breaks off inside
 * an event can be resumed at another endpoint. Event ids have to increase, also after a resumption. If
 * they have risen by one so far, or always do for this service, a missing one is a fault as well. Each byte is searched and copied a fixed number of
 * times, however the stream is cut into chunks.
 *
 * @example
 * const framer = EventStreamFramer.create(12);
 * const result = framer.addChunk(chunk);
 * if (result.type === 'events') caller.write(result.events.bytes);
 */
export class EventStreamFramer {
  /** The incomplete event so far. */
  private readonly partialEvent: BodyBuffer;

  private readonly scanner = EventScanner.create();

  private isSuccessive: boolean | undefined;

  private numberedEvents = 0;

  private hasUnnumbered = false;

  private constructor(
    private lastId: number,
    memory: MemoryBudget,
    private readonly history: EventIdHistory,
  ) {
    this.partialEvent = BodyBuffer.create(MAX_EVENT_BYTES, memory);
    this.isSuccessive = history.areIdsSuccessive ? true : undefined;
  }

  /**
   * @param lastId id of the last event that the caller has received; 0 for a new stream
   * @param memory memory for incomplete events, by default for one of this stream
   * @param history how the service has numbered events so far, by default unknown
   */
  static create(
    lastId: number,
    memory = MemoryBudget.create(MAX_EVENT_BYTES),
    history = EventIdHistory.create(),
  ): EventStreamFramer {
    return new EventStreamFramer(lastId, memory, history);
  }

  /** Id of the last complete event; 0 if there was none. */
  get lastEventId(): number {
    return this.lastId;
  }

  /** Number of events with an id so far. */
  get numberedEventCount(): number {
    return this.numberedEvents;
  }

  /**
   * Whether events without an id follow the last one that has an id, or the start. An endpoint that resumes the
   * stream would send them again.
   */
  get hasUnnumberedEvents(): boolean {
    return this.hasUnnumbered;
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Discards an incomplete event; the next endpoint sends it again from its beginning. */
  discardPartialEvent(): void {
    this.partialEvent.release();
    this.scanner.reset();
  }

  /** After a fault, the events before it in the same chunk count as not received. */
  addChunk(chunk: Buffer): FramingResult {
    const ends = this.scanner.scanChunk(chunk);
    const completeBytes = ends.at(-1) ?? 0;
    if (completeBytes === 0) return this.bufferPartialEvent(chunk) ?? { type: 'incomplete' };
    const offset = this.partialEvent.length;
    const complete = chunk.subarray(0, completeBytes);
    const bytes = offset === 0 ? complete : Buffer.concat([this.partialEvent.getBytes(), complete]);
    let position: FramingPosition = {
      start: 0,
      lastId: this.lastId,
      hasUnnumberedEvents: this.hasUnnumbered,
      numberedEvents: this.numberedEvents,
      isSuccessive: this.isSuccessive,
    };
    for (const end of ends) {
      const check = checkEvent(bytes, position, offset + end);
      if (check.type === 'fault') {
        this.recordFault(check.fault, position);
        return check;
      }
      position = check.position;
    }
    this.partialEvent.release();
    const fault = this.bufferPartialEvent(chunk.subarray(completeBytes));
    if (fault !== undefined) return fault;
    this.recordPosition(position);
    const lastId = this.lastId > 0 ? this.lastId : undefined;
    return { type: 'events', events: { bytes, lastId, count: ends.length } };
  }

  private recordPosition(position: FramingPosition): void {
    const isShort = this.numberedEvents < MIN_JUDGED_EVENTS;
    this.lastId = position.lastId;
    this.hasUnnumbered = position.hasUnnumberedEvents;
    this.numberedEvents = position.numberedEvents;
    this.isSuccessive = position.isSuccessive;
    if (isShort && this.numberedEvents >= MIN_JUDGED_EVENTS)
      this.history.recordStream(this.isSuccessive === true);
  }

  private recordFault(fault: FramingError, { numberedEvents }: FramingPosition): void {
    if (fault.type === 'order' && numberedEvents === 0 && fault.id > fault.previousId)
      this.history.recordGap();
  }

  private bufferPartialEvent(bytes: Buffer): Extract<FramingResult, { type: 'fault' }> | undefined {
    if (bytes.length === 0) return undefined;
    const result = this.partialEvent.add(bytes);
    switch (result) {
      case 'added':
        return undefined;
      case 'too_large':
        return { type: 'fault', fault: { type: 'event_too_large' } };
      case 'no_memory':
        return { type: 'fault', fault: { type: 'no_memory' } };
      default:
        return result satisfies never;
    }
  }
}
