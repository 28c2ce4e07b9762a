import { createWriteStream, type WriteStream } from 'node:fs';
import type { Logger } from '@lovagearch/common';

/** Maximum bytes of buffered lines; beyond it lines are dropped and counted. */
const MAX_HISTORY_BACKLOG_BYTES = 1_048_576;

/** Appends entries to a file as JSON lines, from which tests verify invariants. */
export class DecisionHistoryFile {
  private droppedEntryCount = 0;

  private constructor(private readonly stream: WriteStream) {}

  static create(path: string, log: Logger): DecisionHistoryFile {
    const stream = createWriteStream(path, { flags: 'a' });
    // The history is only used by tests, so a full disk must not affect requests.
    stream.on('error', (error) => log.warn(`Failed to write the history file: ${error.message}.`));
    return new DecisionHistoryFile(stream);
  }

  write(entry: object): void {
    if (this.stream.destroyed || this.stream.writableLength > MAX_HISTORY_BACKLOG_BYTES) {
      this.droppedEntryCount += 1;
      return;
    }
    this.stream.write(`${JSON.stringify({ ...entry, dropped: this.droppedEntryCount })}\n`);
  }

  async close(): Promise<void> {
    if (this.stream.destroyed) return;
    await new Promise<void>((resolve) => {
      this.stream.once('close', resolve);
      this.stream.end();
    });
  }
}
