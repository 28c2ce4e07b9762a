import { BodyBuffer, MemoryBudget } from '@lovagearch/bounded-http';

const NEWLINE = 0x0a;

/**
 * Splits bytes into lines and buffers at most one incomplete line of limited length.
 *
 * @example
 * const lines = LineReader.create(262_144);
 * lines.read(Buffer.from('{"a":1}\n{"b"')); // ['{"a":1}']
 */
export class LineReader {
  private readonly partialLine: BodyBuffer;

  private constructor(private readonly maxLineBytes: number) {
    this.partialLine = BodyBuffer.create(maxLineBytes, MemoryBudget.create(maxLineBytes));
  }

  static create(maxLineBytes: number): LineReader {
    return new LineReader(maxLineBytes);
  }

  /** Returns the lines that these bytes complete, or undefined if a line exceeds the maximum length. */
  read(bytes: Buffer): string[] | undefined {
    const lines: string[] = [];
    let start = 0;
    for (
      let end = bytes.indexOf(NEWLINE);
      end >= 0;
      start = end + 1, end = bytes.indexOf(NEWLINE, start)
    ) {
      if (this.partialLine.length + end - start > this.maxLineBytes) return undefined;
      const rest = bytes.subarray(start, end);
      if (this.partialLine.length === 0) lines.push(rest.toString('utf8'));
      else {
        this.partialLine.add(rest);
        lines.push(this.partialLine.getBytes().toString('utf8'));
        this.partialLine.release();
      }
    }
    if (start === bytes.length) return lines;
    return this.partialLine.add(bytes.subarray(start)) === 'added' ? lines : undefined;
  }
}
