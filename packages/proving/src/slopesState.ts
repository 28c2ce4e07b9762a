import { createHash } from 'node:crypto';
import type { AccountId, AttemptId, NodeId } from '@lovagearch/common';
import { HttpVmListClient } from '@lovagearch/platform-client';
import { IndexShard, type Location } from '@lovagearch/reuse';
import {
  computeRecordBytes,
  decodeSegment,
  encodeSegment,
  ShardState,
  type RunRecord,
} from '@lovagearch/runs';
import { computeCpuMs, getLiveBytes, getMedian, type SlopePoint } from './slopesMeasure.js';
import { createVmList } from './slopesRegion.js';
import { CountingServer } from './slopesServer.js';

const RUNS = 5;

const createKey = (seed: string): string =>
  createHash('sha256').update(seed).digest('hex').slice(0, 32);

const createLocation = (index: number): Location => ({
  kind: 'runner',
  holder: `runner-${index % 3_500}`,
  region: 'region-1',
  depth: 32,
  tailKey: createKey(`tail-${index}`),
  sha256: '',
  boot: `boot-${index % 3_500}`,
});

/** Bytes in memory of an index shard with entries of two locations each. */
export const computeIndexBytes = (entries: number): SlopePoint => {
  const before = getLiveBytes();
  const shard = IndexShard.create(entries);
  for (let index = 0; index < entries; index++) {
    const anchor = createKey(`anchor-${index}`);
    shard.add(anchor, createLocation(index));
    shard.add(anchor, createLocation(index + 1_000_000));
  }
  const bytes = getLiveBytes() - before;
  return { x: shard.size, y: bytes };
};

const createCallRecords = (index: number): readonly RunRecord[] => {
  const fields = {
    account: `jianan-${index % 240}` as AccountId,
    key: createKey(`key-${index}`),
    bodyHash: createHash('sha256').update(`body-${index}`).digest('hex'),
    attempt: `attempt-${createKey(`attempt-${index}`)}` as AttemptId,
  };
  const body = Buffer.from(
    JSON.stringify({ claim: index, state: 'accepted', pad: 'x'.repeat(200) }),
  );
  const headers = { 'content-type': 'application/json' };
  const response = { status: 200, headers, body: { type: 'inline', bytes: body } } as const;
  return [
    { type: 'begun', ...fields, holder: `node-${index % 350}` as NodeId },
    { type: 'finished', ...fields, response },
  ];
};

/** What non-idempotent calls leave in the run log of one shard. */
export interface RunLogCost {
  readonly calls: number;
  /** Bytes of both records of a call, before base64. */
  readonly recordBytes: number;
  /** Bytes of the rows' JSON values for each call. */
  readonly rowBytes: number;
  readonly memoryBytes: number;
  /** Processor time to decode and apply the rows, as a takeover does, in milliseconds. */
  readonly takeoverCpuMs: number;
  readonly rows: number;
}

/** Measures the state of one shard after calls that were written in rows of some records each. */
export const computeRunLogCost = async (
  calls: number,
  recordsPerRow: number,
): Promise<RunLogCost> => {
  const records = Array.from({ length: calls }, (_, index) => createCallRecords(index)).flat();
  const owner = 'node-1' as NodeId;
  const rows: string[] = [];
  for (let start = 0; start < records.length; start += recordsPerRow) {
    const slice = records.slice(start, start + recordsPerRow);
    const segment = { type: 'records', owner, shards: 64, elapsedMs: 250, records: slice } as const;
    rows.push(JSON.stringify(encodeSegment(segment)));
  }
  const recordBytes = records.reduce((sum, record) => sum + computeRecordBytes(record), 0) / calls;
  const rowBytes = rows.reduce((sum, row) => sum + row.length, 0) / calls;
  const before = getLiveBytes();
  const state = ShardState.create();
  const takeoverCpuMs = await computeCpuMs(() => {
    for (const [index, row] of rows.entries()) {
      const segment = decodeSegment(JSON.parse(row));
      if (segment.isErr()) throw new TypeError(segment.error.type);
      for (const record of segment.value.records) state.applyRecord(record, index + 1);
    }
  });
  const memoryBytes = getLiveBytes() - before;
  return {
    calls: state.size,
    recordBytes,
    rowBytes,
    memoryBytes,
    takeoverCpuMs,
    rows: rows.length,
  };
};

/** Bytes and processor time of one read of the VM list. */
export interface VmListCost {
  readonly vms: number;
  readonly bytes: number;
  /** Processor time of a read over HTTP, the answering side included, in milliseconds. */
  readonly cpuMs: number;
}

/** Measures a read of the VM list of a system with six regions. */
export const computeVmListCost = async (
  nodesPerRegion: number,
  runnersPerRegion: number,
): Promise<VmListCost> => {
  const vms = createVmList({ nodesPerRegion, runnersPerRegion, regions: 6 });
  const server = await CountingServer.start(() => JSON.stringify({ vms }));
  const client = HttpVmListClient.create({ url: server.url });
  const cpu: number[] = [];
  for (let run = 0; run < RUNS; run++) {
    cpu.push(
      await computeCpuMs(async () => {
        const read = await client.read();
        if (read.isErr() || read.value.length !== vms.length) throw new TypeError('bad VM list');
      }),
    );
  }
  await client.close();
  const bytes = server.bytes / RUNS;
  await server.stop();
  return { vms: vms.length, bytes, cpuMs: getMedian(cpu) };
};
