import t from 'tap';
import {
  createRandom,
  toId,
  type AccountId,
  type AttemptId,
  type NodeId,
} from '@lovagearch/common';
import { WriteRateLimiter } from './writeRateLimiter.js';
import { RETENTION_MS } from './constants.js';
import { encodeSegment } from './segmentCodec.js';
import { ShardLog } from './shardLog.js';
import { ShardState } from './shardState.js';
import type { Segment } from './types.js';

const createSegment = (type: Segment['type'], elapsedMs = 0): Segment => ({
  type,
  owner: toId<NodeId>('n'),
  shards: 8,
  elapsedMs,
  records: [],
});

t.test('a missing row in the middle of a log is reported as a gap', async (t2) => {
  const shardLog = ShardLog.create(8);
  t2.ok(shardLog.readRow(3, encodeSegment(createSegment('takeover'))).isOk());
  t2.ok(shardLog.readRow(9, encodeSegment(createSegment('records'))).isOk());
  t2.match(shardLog.readRow(11, encodeSegment(createSegment('records'))), {
    error: { type: 'gap', expected: 10, found: 11 },
  });
});

t.test('only expired rows are removed, in sequence order, and no takeover rows', async (t2) => {
  const shardLog = ShardLog.create(8);
  shardLog.addSegment(1, createSegment('takeover'));
  for (let sequence = 2; sequence <= 100; sequence++) {
    shardLog.addSegment(sequence, createSegment('records', 30_000));
  }
  t2.equal(shardLog.getRemovableSequence(RETENTION_MS - 99 * 30_000), undefined);
  const removed: number[] = [];
  for (let next = shardLog.getRemovableSequence(RETENTION_MS); next !== undefined;) {
    t2.equal(
      shardLog.getRemovableSequence(RETENTION_MS),
      next,
      'the same row is returned until its removal is recorded',
    );
    removed.push(next);
    shardLog.recordRemoval(next);
    next = shardLog.getRemovableSequence(RETENTION_MS);
  }
  t2.same(
    removed,
    Array.from({ length: 98 }, (_, index) => index + 2),
  );
});

t.test('a shard under load never writes more than 4 rows in any second', async (t2) => {
  const seed = 7;
  const random = createRandom(seed);
  const limiter = WriteRateLimiter.create();
  const writes: number[] = [];
  for (let nowMs = 0; writes.length < 400;) {
    nowMs += limiter.computeDelayMs(nowMs) + (random() < 0.1 ? random() * 900 : 0);
    limiter.recordWrite(nowMs);
    writes.push(nowMs);
  }
  for (const [index, atMs] of writes.entries()) {
    if ((writes[index + 4] ?? Infinity) - atMs < 1_000) t2.fail(`seed ${seed}, write ${index}`);
  }
});

t.test('an evicted response is still found by the sequence number of its row', async (t2) => {
  const state = ShardState.create(10, 8);
  const createRecord = (key: string) => ({
    account: toId<AccountId>('zamu'),
    key,
    bodyHash: 'b',
    attempt: toId<AttemptId>(`attempt-${key}`),
  });
  for (const [index, key] of ['k1', 'k2'].entries()) {
    const body = { type: 'inline' as const, bytes: new Uint8Array(6) };
    const response = { status: 200, headers: {}, body };
    state.applyRecord({ type: 'finished', ...createRecord(key), response }, index + 1);
  }
  const retry = { ...createRecord('k1'), attempt: toId<AttemptId>('later') };
  t2.match(state.getBeginDecision(retry), { type: 'recorded_in_row', sequence: 1 });
  const other = { ...createRecord('k2'), bodyHash: 'c' };
  t2.match(state.getBeginDecision(other), { type: 'key_reused' });
  state.removeExpired(1);
  t2.match(state.getBeginDecision(retry), { type: 'grant' });
});
