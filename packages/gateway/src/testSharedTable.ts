import type { MirroredRow, ReadResult } from '@lovagearch/mirror';

const POLL_INTERVAL_MS = 10;

/** In-memory table of several gateways; a write wakes the long polls of all of them. */
export class FakeSharedTable {
  private readonly rows = new Map<string, MirroredRow>();

  private version = 1;

  /** Ends the long polls that wait for the next write. */
  private wake: (() => void)[] = [];

  write(key: string, value: unknown): void {
    this.put(key, JSON.stringify(value));
  }

  delete(key: string): void {
    this.put(key, undefined);
  }

  /**
   * Waits until the rows name a number of distinct values that match a pattern, and `readerCount` long polls
   * wait for the next change.
   */
  async waitUntilRead(readerCount: number, pattern: RegExp, distinctCount: number): Promise<void> {
    const countDistinct = () => {
      const text = [...this.rows.values()].map(({ value }) => value).join();
      return new Set(text.match(pattern)).size;
    };
    while (countDistinct() < distinctCount || this.wake.length < readerCount) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
  }

  readAll(): ReadResult {
    return {
      type: 'rows',
      batch: { rows: [...this.rows.values()], version: this.version, isPartial: false, ageMs: 0 },
    };
  }

  async readChanges(afterVersion: number, waitMs: number): Promise<ReadResult> {
    if (this.version <= afterVersion) {
      await new Promise<void>((resolve) => {
        this.wake.push(resolve);
        setTimeout(() => {
          this.wake = this.wake.filter((waiting) => waiting !== resolve);
          resolve();
        }, waitMs).unref();
      });
    }
    const rows = [...this.rows.values()].filter(({ version }) => version > afterVersion);
    return { type: 'rows', batch: { rows, version: this.version, isPartial: true, ageMs: 0 } };
  }

  private put(key: string, value: string | undefined): void {
    this.version += 1;
    this.rows.set(key, { key, version: this.version, value });
    const { wake } = this;
    this.wake = [];
    for (const resolve of wake) resolve();
  }
}
