import { computeHash32 } from '@lovagearch/common';
import { AGE_QUANTUM_MS, MAX_ROWS_PER_MESSAGE, QUEUE_UNIT_TOKENS } from './constants.js';

/**
 * State of an endpoint as reported by a source. `unseen`: a watcher's poll failed; `failed`: a call
 * from the source to the endpoint failed with a connection error.
 */
export const ROW_STATES = ['ready', 'loading', 'leaving', 'unseen', 'failed'] as const;
export type RowState = (typeof ROW_STATES)[number];

/** Load and state of one endpoint as reported by one source; 10 bytes on the wire. */
export interface LoadRow {
  /** 32-bit hash of the endpoint's id. */
  readonly endpoint: number;
  readonly queuedPromptTokens: number;
  readonly activeSequences: number;
  /** Used share of the cache, from 0 to 1. */
  readonly cacheUse: number;
  readonly state: RowState;
  /**
   * 8-bit hash of boot, models and weight versions; a change makes receivers request the details.
   */
  readonly versionTag: number;
}

/**
 * Rows of one source. `delta` contains the changed rows and confirms all other rows of the source;
 * `full` contains all rows; `urgent` contains state changes that a watcher sends between cycles;
 * `mark` contains failures and leaving notices that any node met while calling an endpoint.
 * `urgent` and `mark` don't confirm other rows.
 */
export interface LoadSection {
  readonly type: 'delta' | 'full' | 'urgent' | 'mark';
  /** 32-bit hash of the node id of the source. */
  readonly source: number;
  /** Sequence number modulo 256, incremented for each `delta` or `full` section. */
  readonly seq: number;
  /** Time since the source made the observations. */
  readonly ageMs: number;
  readonly rows: readonly LoadRow[];
}

/** Encoded size of one row. */
export const ROW_BYTES = 10;
/** Encoded size of a section header. */
export const SECTION_HEADER_BYTES = 9;
const SECTION_TYPES = ['delta', 'full', 'urgent', 'mark'] as const;
const MAX_UINT8 = 255;

/** Computes the hash that represents an id on the wire. */
export const computeIdHash = (id: string): number => computeHash32(id);

/** Computes the 8-bit tag of a runner's boot, models and weight versions. */
export const computeVersionTag = (
  boot: string,
  models: readonly { readonly model: string; readonly weightVersion: string }[],
): number => {
  const names = models.map(({ model, weightVersion }) => `${model}@${weightVersion}`).sort();
  return computeHash32([boot, ...names].join('|')) & MAX_UINT8;
};

const writeRow = (buffer: Buffer, offset: number, row: LoadRow): void => {
  buffer.writeUInt32BE(row.endpoint, offset);
  const units = Math.ceil(row.queuedPromptTokens / QUEUE_UNIT_TOKENS);
  buffer.writeUInt16BE(Math.min(units, 0xffff), offset + 4);
  buffer.writeUInt8(Math.min(Math.round(row.activeSequences), MAX_UINT8), offset + 6);
  buffer.writeUInt8(Math.round(row.cacheUse * MAX_UINT8), offset + 7);
  buffer.writeUInt8(ROW_STATES.indexOf(row.state), offset + 8);
  buffer.writeUInt8(row.versionTag, offset + 9);
};

const readRow = (buffer: Buffer, offset: number): LoadRow | undefined => {
  const state = ROW_STATES[buffer.readUInt8(offset + 8)];
  if (state === undefined) return undefined;
  return {
    endpoint: buffer.readUInt32BE(offset),
    queuedPromptTokens: buffer.readUInt16BE(offset + 4) * QUEUE_UNIT_TOKENS,
    activeSequences: buffer.readUInt8(offset + 6),
    cacheUse: buffer.readUInt8(offset + 7) / MAX_UINT8,
    state,
    versionTag: buffer.readUInt8(offset + 9),
  };
};

/**
 * Encodes sections. Each has 4 bytes for the source, 1 for the type, 1 for the sequence number, 1
 * for the age in units of 50 ms (rounded up) and 2 for the number of rows, followed by 10 bytes per
 * row.
 *
 * @example
 * decodeSections(encodeSections([section])); // [section], with values rounded to wire units
 */
export const encodeSections = (sections: readonly LoadSection[]): Buffer => {
  const rowCount = sections.reduce((sum, section) => sum + section.rows.length, 0);
  const buffer = Buffer.alloc(sections.length * SECTION_HEADER_BYTES + rowCount * ROW_BYTES);
  let offset = 0;
  for (const section of sections) {
    buffer.writeUInt32BE(section.source, offset);
    buffer.writeUInt8(SECTION_TYPES.indexOf(section.type), offset + 4);
    buffer.writeUInt8(section.seq, offset + 5);
    // Rounded up, so that a row never appears more recent than it is.
    const ageUnits = Math.min(Math.ceil(section.ageMs / AGE_QUANTUM_MS), MAX_UINT8);
    buffer.writeUInt8(ageUnits, offset + 6);
    buffer.writeUInt16BE(section.rows.length, offset + 7);
    offset += SECTION_HEADER_BYTES;
    for (const row of section.rows) {
      writeRow(buffer, offset, row);
      offset += ROW_BYTES;
    }
  }
  return buffer;
};

/** Decodes sections; returns undefined if the bytes are malformed. */
export const decodeSections = (bytes: Uint8Array): LoadSection[] | undefined => {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const sections: LoadSection[] = [];
  let remainingRows = MAX_ROWS_PER_MESSAGE;
  let offset = 0;
  while (offset < buffer.length) {
    if (offset + SECTION_HEADER_BYTES > buffer.length) return undefined;
    const type = SECTION_TYPES[buffer.readUInt8(offset + 4)];
    const count = buffer.readUInt16BE(offset + 7);
    remainingRows -= count;
    const end = offset + SECTION_HEADER_BYTES + count * ROW_BYTES;
    if (type === undefined || remainingRows < 0 || end > buffer.length) return undefined;
    const rows: LoadRow[] = [];
    for (let rowOffset = offset + SECTION_HEADER_BYTES; rowOffset < end; rowOffset += ROW_BYTES) {
      const row = readRow(buffer, rowOffset);
      if (row === undefined) return undefined;
      rows.push(row);
    }
    sections.push({
      type,
      source: buffer.readUInt32BE(offset),
      seq: buffer.readUInt8(offset + 5),
      ageMs: buffer.readUInt8(offset + 6) * AGE_QUANTUM_MS,
      rows,
    });
    offset = end;
  }
  return sections;
};
