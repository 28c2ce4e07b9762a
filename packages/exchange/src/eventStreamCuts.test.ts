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

const createEventText = (lines: fc.Arbitrary<string[]>): fc.Arbitrary<string> =>
  fc
    .tuple(lines, dataLines, lineEnd)
    .map(([idLines, data, end]) => formatEvent([...idLines, ...data], end));

/** Events whose ids rise by one. */
const eventTexts = fc
  .integer({ min: 1, max: 12 })
  .chain((count) =>
    fc.tuple(
      ...Array.from({ length: count }, (_, index) => createEventText(numberedLines(index + 1))),
    ),
  );

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
    fc.property(eventTexts, chunkSizes, (texts, sizes) => {
      const text = texts.join('');
      const framer = EventStreamFramer.create(0);
      assert.equal(addChunks(framer, Buffer.from(text), sizes), text);
      assert.equal(framer.lastEventId, findLastId(parseEvents(text)));
      assert.equal(framer.lastEventId, texts.length);
      assert.equal(framer.hasPartialEvent, false);
    }),
    { numRuns: 500 },
  );
});

/** Pieces that are no event with an id; `number` is the id that the next event has. */
const invalidText = (number: number): fc.Arbitrary<string> =>
  fc.oneof(
    createEventText(unnumberedLines(number)),
    fc.constantFrom(
      `id: ${number}\n\n`,
      `garbage\nid: ${number}\ndata: a\n\n`,
      `id: ${number}\ndata: a\n\u0001}{: a\n\n`,
      'retry: 100\n\n',
    ),
  );

// Guards against bytes that no endpoint made as an event, and that reach the caller as one.
t.test(
  'a stream ends before bytes that are neither an event with an id nor a comment',
  async () => {
    const spoilt = eventTexts.chain((texts) =>
      fc.tuple(fc.constant(texts), invalidText(texts.length + 1), chunkSizes),
    );
    fc.assert(
      fc.property(spoilt, ([texts, invalid, sizes]) => {
        const framer = EventStreamFramer.create(0);
        const sound = texts.join('');
        let remaining = Buffer.from(`${sound}${invalid}`);
        let passedOn = '';
        let hasFault = false;
        for (const size of [...sizes, remaining.length]) {
          const result = framer.addChunk(remaining.subarray(0, size));
          remaining = remaining.subarray(size);
          if (result.type === 'events') passedOn += result.events.bytes.toString();
          hasFault = result.type === 'fault';
          if (hasFault || remaining.length === 0) break;
        }
        assert.ok(hasFault);
        assert.ok(sound.startsWith(passedOn));
      }),
      { numRuns: 500 },
    );
  },
);

// Guards against a sound stream that is cut for what its reader ignores.
t.test('comments and fields that readers ignore are passed on with the events', async (t2) => {
  const text = ': a\n\nid: 1\ndata: a\n\n:\n\nx-weights: 3\r\nid: 2\r\ndata: b\r\n\r\n: c\n\n';
  const framer = EventStreamFramer.create(0);
  t2.equal(addChunks(framer, Buffer.from(text), [5, 9]), text);
  t2.equal(framer.lastEventId, 2);
});

// Guards against a sound stream that is cut because its ids increase by more than one.
t.test('a stream whose ids increase by more than one from the start is passed on', async (t2) => {
  const text = 'id: 3\ndata: a\n\nid: 5\ndata: b\n\nid: 90\ndata: c\n\n';
  t2.equal(addChunks(EventStreamFramer.create(0), Buffer.from(text), []), text);
});

// Guards against an event that is lost, comes twice or is joined with another where a stream breaks off.
t.test('a stream that is cut at any byte and resumed has all of its events once', async (t2) => {
  let resumptions = 0;
  fc.assert(
    fc.property(
      eventTexts,
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
