import { BodyBuffer, MemoryBudget } from '@lovagearch/bounded-http';
import { MAX_EVENT_BYTES } from './constants.js';
import { EventIdHistory } from './eventIdHistory.js';
import { EventScanner } from './eventScanner.js';
import { readEvent } from './readEvent.js';

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
  /** Bytes that are neither an event with an id nor a comment. */
  | { readonly type: 'no_event'; readonly reason: 'line' | 'no_data' | 'no_id' }
  | { readonly type: 'response_head' }
  | { readonly type: 'order'; readonly previousId: number; readonly id: number };

export type FramingResult =
  | { readonly type: 'events'; readonly events: CompleteEvents }
  | { readonly type: 'fault'; readonly fault: FramingError }
  | { readonly type: 'incomplete' };

/** Events with an id that show whether the ids of a stream rise by one. */
const MIN_JUDGED_EVENTS = 2;

/** The start of an HTTP response, which may follow a stream without a length on its connection. */
const RESPONSE_HEAD_START = 'HTTP/1.';

/** The position of the next event in a chunk, with the id of the event before it. */
interface FramingPosition {
  readonly start: number;
  readonly lastId: number;
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
  if (hasResponseHead(event)) return { type: 'fault', fault: { type: 'response_head' } };
  const piece = readEvent(event);
  if (piece.type === 'invalid')
    return { type: 'fault', fault: { type: 'no_event', reason: piece.reason } };
  if (piece.type === 'comment') return { type: 'position', position: { ...previous, start: end } };
  const { id } = piece;
  const isSuccessor = id === lastId + 1;
  if (id <= lastId || (isSuccessive === true && !isSuccessor))
    return { type: 'fault', fault: { type: 'order', previousId: lastId, id } };
  const position = {
    start: end,
    lastId: id,
    numberedEvents: numberedEvents + 1,
    isSuccessive: isSuccessor && isSuccessive !== false,
  };
  return { type: 'position', position };
};

/**
 * Splits a stream of server-sent events into complete events, so that a stream that breaks off inside
 * an event can be resumed at another endpoint. A stream is a series of events with increasing ids, also after a
 * resumption; what else an endpoint sends, comments apart, is a fault, and so is a missing id if ids have risen by one so
 * far, or always do for this service. Each byte is searched and copied a fixed number of times, however the stream is cut
 * into chunks.
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
