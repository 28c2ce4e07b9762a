import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { BodyBuffer, MemoryBudget } from './index.js';
import { MIN_BLOCK_BYTES } from './constants.js';

const UNLIMITED = Number.MAX_SAFE_INTEGER;

t.test('a body is the same however it is cut, and takes memory for its bytes only', async (t2) => {
  const chunks = fc.array(fc.uint8Array({ maxLength: 5_000 }), { maxLength: 40 });
  fc.assert(
    fc.property(chunks, (parts) => {
      const memory = MemoryBudget.create(UNLIMITED);
      const buffer = BodyBuffer.create(UNLIMITED, memory);
      const whole = Buffer.concat(parts);
      for (const part of parts) assert.equal(buffer.add(Buffer.from(part)), 'added');
      assert.ok(memory.reservedBytes <= 2 * whole.length + MIN_BLOCK_BYTES);
      assert.equal(buffer.length, whole.length);
      assert.ok(buffer.getBytes().equals(whole));
      assert.ok(memory.reservedBytes <= whole.length + MIN_BLOCK_BYTES);
      buffer.release();
      assert.equal(memory.reservedBytes, 0);
    }),
  );
  t2.end();
});

// Guards against objects for each chunk: blocks that hold one byte each would be as many.
t.test('a body in chunks of one byte takes few allocations', async (t2) => {
  let reservations = 0;
  const memory = MemoryBudget.create(UNLIMITED);
  const countingMemory = Object.assign(Object.create(memory) as MemoryBudget, {
    tryReserve: (bytes: number) => {
      reservations += 1;
      return memory.tryReserve(bytes);
    },
  });
  const buffer = BodyBuffer.create(UNLIMITED, countingMemory);
  const chunk = Buffer.from('x');
  for (let count = 0; count < 1_048_576; count++) buffer.add(chunk);
  t2.ok(reservations < 20, `${reservations} blocks`);
  t2.equal(buffer.getBytes().length, 1_048_576);
});

t.test('bodies end at their own limit and at that of the process', async (t2) => {
  const memory = MemoryBudget.create(4_096);
  const first = BodyBuffer.create(3_000, memory);
  t2.equal(first.add(Buffer.alloc(3_000)), 'added');
  t2.equal(first.add(Buffer.alloc(1)), 'too_large');
  const second = BodyBuffer.create(3_000, memory);
  t2.equal(second.add(Buffer.alloc(2_000)), 'no_memory');
  t2.equal(second.length, 0);
  const third = BodyBuffer.create(2_000, MemoryBudget.create(2_000));
  for (let part = 0; part < 666; part++) t2.equal(third.add(Buffer.alloc(3)), 'added');
  first.release();
  t2.equal(second.add(Buffer.alloc(2_000)), 'added');
  second.release();
  t2.equal(memory.reservedBytes, 0);
});
