import { appendFileSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Whether the disruption of the case is played. */
export const isTroubled = process.env.TROUBLE !== '0';

/** The record of a run, with times since its start. */
export class Record {
  startMs = performance.now();

  static create(file) {
    const record = new Record();
    record.file = file;
    writeFileSync(file, '');
    return record;
  }

  add(text) {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3);
    appendFileSync(this.file, `${seconds.padStart(8)} s  ${text}\n`);
  }
}

export const createDirectory = () => mkdtempSync(join(tmpdir(), 'lovagearch-review-'));
