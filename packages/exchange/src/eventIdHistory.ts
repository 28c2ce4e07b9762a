import { MAX_GAPS_IN_A_ROW, MIN_SUCCESSIVE_STREAMS } from './constants.js';

/**
 * How a service numbers the events of its streams. A gap before the first event of a stream can't be seen in that
 * stream alone; it is a fault where the ids of the streams before it rose by one.
 *
 * @example
 * const history = EventIdHistory.create();
 * const framer = EventStreamFramer.create(head.lastEventId, memory, history);
 */
export class EventIdHistory {
  /** Streams in a row whose ids rose by one. */
  private successiveStreams = 0;

  /** Streams that began behind a gap since the last one that did not. */
  private gapsInARow = 0;

  static create(): EventIdHistory {
    return new EventIdHistory();
  }

  /** Whether the first event of a stream has to be the successor of the last one that the caller has. */
  get areIdsSuccessive(): boolean {
    return this.successiveStreams >= MIN_SUCCESSIVE_STREAMS;
  }

  /** Records a stream of two or more events with ids. */
  recordStream(isSuccessive: boolean): void {
    this.successiveStreams = isSuccessive ? this.successiveStreams + 1 : 0;
    this.gapsInARow = 0;
  }

  /**
   * Records a stream that was ended for a gap before its first event. Several in a row show that the service numbers
   * its events in another way now.
   */
  recordGap(): void {
    this.gapsInARow += 1;
    if (this.gapsInARow < MAX_GAPS_IN_A_ROW) return;
    this.successiveStreams = 0;
    this.gapsInARow = 0;
  }
}
