import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { MemoryBudget } from '@lovagearch/bounded-http';
import { MAX_EVENT_BYTES } from './constants.js';
import { EventStreamFramer } from './index.js';

/** Runs `work` and returns the bytes that it joins and searches in buffers. */
const measureBytes = (work: () => void): number => {
  const { concat } = Buffer;
  const { indexOf } = Buffer.prototype;
  let bytes = 0;
  Buffer.concat = (list, length) => {
    const joined = concat.call(Buffer, list, length);
    bytes += joined.length;
    return joined;
  };
  Buffer.prototype.indexOf = function countBytes(this: Buffer, ...args: unknown[]) {
    bytes += this.length - (typeof args[1] === 'number' ? args[1] : 0);
    return Reflect.apply<Buffer, unknown[], number>(indexOf as never, this, args);
  };
  try {
    work();
  } finally {
    Buffer.concat = concat;
    Buffer.prototype.indexOf = indexOf;
  }
  return bytes;
};

// Guards against one stream in small chunks that stops the event loop: the work grew with the square of the chunks.
t.test('an event that never ends costs work in proportion to its bytes', async (t2) => {
  for (const text of ['x', 'xxx', '\r', 'x\n']) {
    const framer = EventStreamFramer.create(0);
    const chunk = Buffer.from(text);
    let received = 0;
    const bytes = measureBytes(() => {
      let result = framer.addChunk(chunk);
      while (result.type === 'incomplete') {
        received += chunk.length;
        result = framer.addChunk(chunk);
      }
      t2.strictSame(result, { type: 'fault', fault: { type: 'event_too_large' } });
    });
    t2.ok(received > MAX_EVENT_BYTES - chunk.length);
    t2.ok(bytes <= 4 * received, `${bytes} bytes for ${received} of ${JSON.stringify(text)}`);
  }
});

t.test('events whose lines end with CR LF are complete, however they are cut', async (t2) => {
  const lineEnd = fc.constantFrom('\n', '\r\n');
  const sizes = fc.array(fc.integer({ min: 1, max: 20 }), { maxLength: 30 });
  fc.assert(
    fc.property(
      fc.array(lineEnd, { minLength: 3, maxLength: 15 }),
      sizes,
      (lineEnds, chunkSizes) => {
        const count = Math.floor(lineEnds.length / 3);
        let text = '';
        for (let event = 0; event < count; event++) {
          const [first, second, third] = lineEnds.slice(3 * event);
          text += `id: ${event + 1}${first}data: \r${second}${third}`;
        }
        const framer = EventStreamFramer.create(0);
        let output = '';
        let events = 0;
        let remaining = Buffer.from(text);
        for (const size of [...chunkSizes, text.length]) {
          const result = framer.addChunk(remaining.subarray(0, size));
          remaining = remaining.subarray(size);
          if (result.type !== 'events') continue;
          output += result.events.bytes.toString();
          events += result.events.count;
        }
        assert.equal(output, text);
        assert.equal(events, count);
        assert.equal(framer.lastEventId, count);
        assert.equal(framer.hasPartialEvent, false);
      },
    ),
  );
  t2.end();
});

t.test('incomplete events share the memory of the process', async (t2) => {
  const memory = MemoryBudget.create(4_096);
  const first = EventStreamFramer.create(0, memory);
  const second = EventStreamFramer.create(0, memory);
  t2.equal(first.addChunk(Buffer.alloc(3_000, 'x')).type, 'incomplete');
  t2.strictSame(second.addChunk(Buffer.alloc(3_000, 'x')), {
    type: 'fault',
    fault: { type: 'no_memory' },
  });
  first.discardPartialEvent();
  second.discardPartialEvent();
  t2.equal(memory.reservedBytes, 0);
});
