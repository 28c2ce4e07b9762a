const NEWLINE = 0x0a;

/**
 * Splits bytes into lines and buffers at most one incomplete line of limited length.
 *
 * @example
 * const lines = LineReader.create(262_144);
 * lines.read(Buffer.from('{"a":1}\n{"b"')); // ['{"a":1}']
 */
export class LineReader {
  private partialLine: Buffer[] = [];

  private partialLineBytes = 0;

  private constructor(private readonly maxLineBytes: number) {}

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
      if (this.partialLineBytes + end - start > this.maxLineBytes) return undefined;
      lines.push(Buffer.concat([...this.partialLine, bytes.subarray(start, end)]).toString('utf8'));
      this.partialLine = [];
      this.partialLineBytes = 0;
    }
    if (start < bytes.length) {
      this.partialLine.push(bytes.subarray(start));
      this.partialLineBytes += bytes.length - start;
    }
    return this.partialLineBytes > this.maxLineBytes ? undefined : lines;
  }
}
