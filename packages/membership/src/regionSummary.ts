import { computeHash32, type NodeId } from '@lovagearch/common';

/** Capacity of one model version in one availability zone; 12 bytes on the wire. */
export interface ZoneCapacity {
  /** 32-bit hash of model and weight version. */
  readonly model: number;
  /** 16-bit hash of the availability zone. */
  readonly zone: number;
  readonly readyRunners: number;
  /** Sequences that the runners can start without queueing. */
  readonly freeSequences: number;
  /** Estimated queueing time of a new request. */
  readonly queueMs: number;
}

const ENTRY_BYTES = 12;
const MAX_ENTRIES = 1_024;
const QUEUE_UNIT_MS = 8;
const MAX_UINT16 = 0xffff;

/** Computes the hash that represents a model and weight version on the wire. */
export const computeModelHash = (model: string, weightVersion: string): number =>
  computeHash32(`${model}@${weightVersion}`);

/** Computes the hash that represents an availability zone on the wire. */
export const computeZoneHash = (zone: string): number => computeHash32(zone) & MAX_UINT16;

/**
 * Chooses the nodes of another region to which this node sends its summary, so that together the
 * nodes of this region reach every node of the other one.
 *
 * @param own sorted active nodes of this region
 * @param others sorted active nodes of the other region
 * @example
 * chooseSummaryTargets(['a', 'b'], ['x', 'y', 'z'], 'a'); // ['x', 'z']
 */
export const chooseSummaryTargets = (
  own: readonly NodeId[],
  others: readonly NodeId[],
  self: NodeId,
): NodeId[] => {
  const index = own.indexOf(self);
  if (index < 0 || others.length === 0) return [];
  if (index >= others.length) return [others[index % others.length] as NodeId];
  return others.filter((_, position) => position % own.length === index);
};

const toUint16 = (value: number): number => Math.min(Math.max(0, Math.round(value)), MAX_UINT16);

/** Encodes capacities, 12 bytes each. */
export const encodeCapacities = (capacities: readonly ZoneCapacity[]): Buffer => {
  const kept = capacities.slice(0, MAX_ENTRIES);
  const buffer = Buffer.alloc(kept.length * ENTRY_BYTES);
  for (const [index, capacity] of kept.entries()) {
    const offset = index * ENTRY_BYTES;
    buffer.writeUInt32BE(capacity.model, offset);
    buffer.writeUInt16BE(capacity.zone, offset + 4);
    buffer.writeUInt16BE(toUint16(capacity.readyRunners), offset + 6);
    buffer.writeUInt16BE(toUint16(capacity.freeSequences), offset + 8);
    buffer.writeUInt16BE(toUint16(capacity.queueMs / QUEUE_UNIT_MS), offset + 10);
  }
  return buffer;
};

/** Decodes capacities; returns undefined if the bytes are malformed. */
export const decodeCapacities = (bytes: Uint8Array): ZoneCapacity[] | undefined => {
  const isWellFormed =
    bytes.length % ENTRY_BYTES === 0 && bytes.length / ENTRY_BYTES <= MAX_ENTRIES;
  if (!isWellFormed) return undefined;
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const capacities: ZoneCapacity[] = [];
  for (let offset = 0; offset < buffer.length; offset += ENTRY_BYTES) {
    capacities.push({
      model: buffer.readUInt32BE(offset),
      zone: buffer.readUInt16BE(offset + 4),
      readyRunners: buffer.readUInt16BE(offset + 6),
      freeSequences: buffer.readUInt16BE(offset + 8),
      queueMs: buffer.readUInt16BE(offset + 10) * QUEUE_UNIT_MS,
    });
  }
  return capacities;
};
