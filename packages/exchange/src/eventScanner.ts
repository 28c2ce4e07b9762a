const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** What a line that has not ended holds so far. */
type LineState = 'carriage_return' | 'empty' | 'text';

/**
 * Finds the ends of server-sent events in a stream that arrives in chunks. An event ends with an empty line; lines end
 * with LF or CR LF. Empty lines before an event belong to it.
 *
 * @example
 * const scanner = EventScanner.create();
 * scanner.scanChunk(Buffer.from('id: 1\n')); // []
 * scanner.scanChunk(Buffer.from('\nid: 2')); // [1]
 */
export class EventScanner {
  private line: LineState = 'empty';

  /** Whether the event has a line that is not empty. */
  private hasLine = false;

  static create(): EventScanner {
    return new EventScanner();
  }

  /** Starts again at the beginning of an event. */
  reset(): void {
    this.line = 'empty';
    this.hasLine = false;
  }

  /** Returns the positions in the chunk behind each event that ends in it. */
  scanChunk(chunk: Buffer): number[] {
    const ends: number[] = [];
    let lineStart = 0;
    for (
      let lineEnd = chunk.indexOf(LINE_FEED);
      lineEnd >= 0;
      lineEnd = chunk.indexOf(LINE_FEED, lineStart)
    ) {
      this.readLinePart(chunk, lineStart, lineEnd);
      if (this.line === 'text') this.hasLine = true;
      else if (this.hasLine) {
        ends.push(lineEnd + 1);
        this.hasLine = false;
      }
      this.line = 'empty';
      lineStart = lineEnd + 1;
    }
    this.readLinePart(chunk, lineStart, chunk.length);
    return ends;
  }

  private readLinePart(chunk: Buffer, start: number, end: number): void {
    if (start === end) return;
    const isCarriageReturn = end - start === 1 && chunk[start] === CARRIAGE_RETURN;
    this.line = this.line === 'empty' && isCarriageReturn ? 'carriage_return' : 'text';
  }
}
