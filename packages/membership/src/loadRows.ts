import { computeHash32 } from '@lovagearch/common';
import { AGE_QUANTUM_MS, MAX_ROWS_PER_MESSAGE, QUEUE_UNIT_TOKENS } from './constants.js';

/**
 * What a source sees of an endpoint. `unseen`: a watcher's poll failed; `failed`: a call of the
 * source failed on the connection.
 */
export const ROW_STATES = ['ready', 'loading', 'leaving', 'unseen', 'failed'] as const;
export type RowState = (typeof ROW_STATES)[number];

/** Load and state of one endpoint as one source sees it; 10 bytes on the wire. */
export interface LoadRow {
  /** 32-bit hash of the endpoint's id. */
  readonly endpoint: number;
  readonly queuedPromptTokens: number;
  readonly activeSequences: number;
  /** From 0 to 1. */
  readonly cacheUse: number;
  readonly state: RowState;
  /** 8-bit hash of models, weight versions and boot; a change calls for the details. */
  readonly versionTag: number;
}

/**
 * Rows of one source. `delta` has the rows that changed and confirms all others of the source;
 * `full` has all; `urgent` has state changes that a watcher sends out of turn; `mark` has what any
 * node met on the data path. The last two confirm nothing else.
 */
export interface LoadSection {
  readonly type: 'delta' | 'full' | 'urgent' | 'mark';
  /** 32-bit hash of the node id of the source. */
  readonly source: number;
  /** Rises by one, modulo 256, with each section of the type `delta` or `full`. */
  readonly seq: number;
  /** Time since the source saw what it reports. */
  readonly ageMs: number;
  readonly rows: readonly LoadRow[];
}

/** Bytes of one row. */
export const ROW_BYTES = 10;
/** Bytes of the header of a section. */
export const SECTION_HEADER_BYTES = 9;
const SECTION_TYPES = ['delta', 'full', 'urgent', 'mark'] as const;
const MAX_UINT8 = 255;

/** Returns the hash that stands for an id on the wire. */
export const computeIdHash = (id: string): number => computeHash32(id);

/** Returns the 8-bit tag of a runner's boot, models and weight versions. */
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
 * Encodes sections: for each 4 bytes source, 1 type, 1 sequence number, 1 age in units of 50 ms
 * (rounded up), 2 number of rows, then 10 bytes a row.
 *
 * @example
 * decodeSections(encodeSections([section])); // [section], with rounded values
 */
export const encodeSections = (sections: readonly LoadSection[]): Buffer => {
  const rowCount = sections.reduce((sum, section) => sum + section.rows.length, 0);
  const buffer = Buffer.alloc(sections.length * SECTION_HEADER_BYTES + rowCount * ROW_BYTES);
  let offset = 0;
  for (const section of sections) {
    buffer.writeUInt32BE(section.source, offset);
    buffer.writeUInt8(SECTION_TYPES.indexOf(section.type), offset + 4);
    buffer.writeUInt8(section.seq, offset + 5);
    // Rounded up, so that a row never looks younger than it is.
    const age = Math.min(Math.ceil(section.ageMs / AGE_QUANTUM_MS), MAX_UINT8);
    buffer.writeUInt8(age, offset + 6);
    buffer.writeUInt16BE(section.rows.length, offset + 7);
    offset += SECTION_HEADER_BYTES;
    for (const row of section.rows) {
      writeRow(buffer, offset, row);
      offset += ROW_BYTES;
    }
  }
  return buffer;
};

/** Decodes sections; undefined if the bytes are not well formed. */
export const decodeSections = (bytes: Uint8Array): LoadSection[] | undefined => {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const sections: LoadSection[] = [];
  let rowsLeft = MAX_ROWS_PER_MESSAGE;
  let offset = 0;
  while (offset < buffer.length) {
    if (offset + SECTION_HEADER_BYTES > buffer.length) return undefined;
    const type = SECTION_TYPES[buffer.readUInt8(offset + 4)];
    const count = buffer.readUInt16BE(offset + 7);
    rowsLeft -= count;
    const end = offset + SECTION_HEADER_BYTES + count * ROW_BYTES;
    if (type === undefined || rowsLeft < 0 || end > buffer.length) return undefined;
    const rows: LoadRow[] = [];
    for (let at = offset + SECTION_HEADER_BYTES; at < end; at += ROW_BYTES) {
      const row = readRow(buffer, at);
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
