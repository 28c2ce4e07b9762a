import assert from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { MAX_EVENT_BYTES } from './constants.js';
import { EventStreamFramer } from './index.js';

interface ReadEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Parses complete events as browsers do: the last `id` counts, unless it holds NUL; comments are left out. */
const parseEvents = (text: string): ReadEvent[] => {
  const events: ReadEvent[] = [];
  let id: string | undefined;
  let data: string[] = [];
  for (const line of text.split(/\r\n|\n|\r/)) {
    if (line === '') {
      if (data.length > 0) events.push({ id, data: data.join('\n') });
      id = undefined;
      data = [];
      continue;
    }
    const colon = line.indexOf(':');
    const field = colon < 0 ? line : line.slice(0, colon);
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '');
    if (field === 'id' && !value.includes('\0')) id = value;
    if (field === 'data') data.push(value);
  }
  return events;
};

const isNumber = (id: string | undefined): id is string => id !== undefined && /^\d+$/.test(id);

const findLastId = (events: readonly ReadEvent[]): number =>
  Number(events.findLast(({ id }) => isNumber(id))?.id ?? 0);

/** Lines of an event with a number, so that this number is the event's id. */
const numberedLines = (number: number): fc.Arbitrary<string[]> =>
  fc.constantFrom(
    [`id: ${number}`],
    [`id:${number}`],
    ['id: 7', `id: ${number}`],
    ['id', `id: ${number}`],
    [`id: ${number}`, `id: ${number}\0`],
    ['x-weights: 3', `id: ${number}`],
    [`: id: 9`, `id: ${number}`, 'identity: 4'],
    [`id: 9\rid: ${number}\revent: x`],
  );

/** Lines by which an event has no id, although some look like one. */
const unnumberedLines = (number: number): fc.Arbitrary<string[]> =>
  fc.constantFrom(
    [],
    ['event: notice'],
    [`id: ${number}\0`],
    [`id: ${number}`, 'id'],
    [`id: ${number}`, 'id:'],
    [`id: ${number}a`],
    [`Id: ${number}`],
  );

const dataLines = fc.array(
  fc.oneof(
    fc.constantFrom('data', 'data:', 'data: id: 9', 'data:  x ', 'data: é', 'data: HTTP/1.1 200'),
    fc.integer({ min: 1, max: 3_000 }).map((length) => `data: ${'x'.repeat(length)}`),
  ),
  { minLength: 1, maxLength: 3 },
);

const lineEnd = fc.constantFrom('\n', '\r\n');

const formatEvent = (lines: readonly string[], end: string): string => {
  let text = '';
  for (const line of [...lines, '']) text += `${line}${end}`;
  return text;
};

/** Events of which some have ids that rise by one. */
const eventTexts = (hasUnnumbered: boolean): fc.Arbitrary<string[]> =>
  fc.array(fc.boolean(), { minLength: 1, maxLength: 12 }).chain((areNumbered) => {
    let number = 0;
    const texts = areNumbered.map((isNumbered) => {
      if (isNumbered || !hasUnnumbered) number += 1;
      const lines =
        isNumbered || !hasUnnumbered ? numberedLines(number) : unnumberedLines(number + 1);
      return fc
        .tuple(lines, dataLines, lineEnd)
        .map(([idLines, data, end]) => formatEvent([...idLines, ...data], end));
    });
    return fc.tuple(...texts);
  });

const chunkSizes = fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 40 });

/** Adds bytes in chunks; returns what the framer passes on. */
const addChunks = (framer: EventStreamFramer, bytes: Buffer, sizes: readonly number[]): string => {
  const passedOn: Buffer[] = [];
  let remaining = bytes;
  for (const size of [...sizes, bytes.length]) {
    if (remaining.length === 0) break;
    const result = framer.addChunk(remaining.subarray(0, size));
    remaining = remaining.subarray(size);
    assert.notEqual(result.type, 'fault');
    if (result.type === 'events') passedOn.push(result.events.bytes);
  }
  return Buffer.concat(passedOn).toString('utf8');
};

// Guards against an id that callers read differently: the next endpoint would start at another event.
t.test('the last id of a stream is the one that its reader knows', async () => {
  fc.assert(
    fc.property(eventTexts(true), chunkSizes, (texts, sizes) => {
      const text = texts.join('');
      const framer = EventStreamFramer.create(0);
      assert.equal(addChunks(framer, Buffer.from(text), sizes), text);
      const events = parseEvents(text);
      assert.equal(framer.lastEventId, findLastId(events));
      assert.equal(framer.hasUnnumberedEvents, !isNumber(events.at(-1)?.id));
      assert.equal(framer.hasPartialEvent, false);
    }),
    { numRuns: 500 },
  );
});

// Guards against an event that is lost, comes twice or is joined with another where a stream breaks off.
t.test('a stream that is cut at any byte and resumed has all of its events once', async (t2) => {
  let resumptions = 0;
  fc.assert(
    fc.property(
      eventTexts(true),
      chunkSizes,
      chunkSizes,
      fc.array(fc.nat(), { minLength: 1, maxLength: 3 }),
      (texts, sizes, laterSizes, cuts) => {
        const framer = EventStreamFramer.create(0);
        const whole = texts.join('');
        let received = '';
        let rest = whole;
        for (const cut of cuts) {
          const bytes = Buffer.from(rest);
          received += addChunks(framer, bytes.subarray(0, cut % (bytes.length + 1)), sizes);
          framer.discardPartialEvent();
          if (framer.hasUnnumberedEvents) {
            assert.ok(whole.startsWith(received));
            return;
          }
          const next = texts.findIndex((_, index) => {
            const before = parseEvents(texts.slice(0, index).join(''));
            return findLastId(before) === framer.lastEventId;
          });
          rest = next < 0 ? '' : texts.slice(next).join('');
          resumptions += 1;
        }
        received += addChunks(framer, Buffer.from(rest), laterSizes);
        assert.equal(received, whole);
      },
    ),
    { numRuns: 500 },
  );
  t2.ok(resumptions > 500, `${resumptions} resumptions`);
});

t.test(
  'an event up to the largest size is passed on whole, a larger one is a fault',
  async (t2) => {
    const addEvent = (bytes: number): string[] => {
      const framer = EventStreamFramer.create(0);
      const head = 'id: 1\ndata: ';
      const start = Buffer.from(`${head}${'x'.repeat(bytes - head.length - 1)}\n`);
      return [framer.addChunk(start).type, framer.addChunk(Buffer.from('\n')).type];
    };
    t2.strictSame(addEvent(MAX_EVENT_BYTES), ['incomplete', 'events']);
    t2.equal(addEvent(MAX_EVENT_BYTES + 1)[0], 'fault');
  },
);
