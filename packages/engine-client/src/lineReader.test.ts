import fc from 'fast-check';
import t from 'tap';
import { LineReader } from './lineReader.js';

t.test('lines do not depend on how the bytes are split, also within a character', async () => {
  const line = fc.string({ unit: 'grapheme' }).map((text) => text.replaceAll('\n', ''));
  const property = fc.property(fc.array(line), fc.integer({ min: 1, max: 7 }), (lines, size) => {
    const reader = LineReader.create(1_000);
    const bytes = Buffer.from(lines.map((text) => `${text}\n`).join(''));
    const found: string[] = [];
    for (let start = 0; start < bytes.length; start += size) {
      found.push(...(reader.read(bytes.subarray(start, start + size)) ?? ['too long']));
    }
    return JSON.stringify(found) === JSON.stringify(lines);
  });
  // fast-check prints the seed of a failure.
  fc.assert(property);
});

t.test('a line over the maximum length is rejected', async (t2) => {
  const reader = LineReader.create(10);
  t2.same(reader.read(Buffer.alloc(10)), []);
  t2.equal(reader.read(Buffer.alloc(1)), undefined);
});
