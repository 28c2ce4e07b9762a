import { EventEmitter, once } from 'node:events';
import { ManualClock } from '@lovagearch/common';
import t from 'tap';
import { FREE_CHUNKS, FREE_CHUNKS_PER_S } from './constants.js';
import { PacedReader, ReadPacer } from './index.js';

/** Reads without end while it is not paused, and gives the event loop no turn in between. */
class EndlessSource extends EventEmitter {
  chunks = 0;

  private isPaused = true;

  private hasEnded = false;

  private readonly reader: PacedReader;

  private constructor(pacer: ReadPacer) {
    super();
    this.reader = PacedReader.create(pacer, {
      pause: () => {
        this.isPaused = true;
        this.emit('paused');
      },
      resume: () => {
        if (!this.hasEnded) this.read();
      },
    });
  }

  static create(pacer: ReadPacer): EndlessSource {
    return new EndlessSource(pacer);
  }

  read(): void {
    this.isPaused = false;
    while (!this.isPaused) {
      this.chunks += 1;
      this.reader.recordChunks(1);
    }
  }

  end(): void {
    this.hasEnded = true;
    this.reader.finish();
  }
}

// Guards against one body in small chunks that keeps the event loop from everything else.
t.test('a source that never ends lets others have their turn', async (t2) => {
  const clock = ManualClock.create();
  const pacer = ReadPacer.create({ clock, chunksPerS: 64_000, chunksAtOnce: 640 });
  const first = EndlessSource.create(pacer);
  first.read();
  t2.ok(first.chunks <= FREE_CHUNKS + 640, 'the chunks at once are used up');
  const second = EndlessSource.create(pacer);
  second.read();
  t2.ok(second.chunks <= FREE_CHUNKS + 64, 'a later one waits after its free chunks');
  const before = [first.chunks, second.chunks];
  for (let turn = 0; turn < 20; turn++) {
    clock.addMs(2);
    await Promise.race([once(first, 'paused'), once(second, 'paused')]);
  }
  const [firstMore, secondMore] = [first.chunks - before[0]!, second.chunks - before[1]!];
  t2.ok(firstMore > 0 && secondMore > 0);
  const freeMore = (2 * 20 * 2 * FREE_CHUNKS_PER_S) / 1_000;
  t2.ok(firstMore + secondMore <= 20 * 2 * 64 + freeMore + 4 * 64, 'no more than the time allows');
  t2.ok(Math.abs(firstMore - secondMore) <= 4 * 64, 'both read alike');
  first.end();
  second.end();
});

t.test('bodies in few chunks are never paused', async (t2) => {
  const pacer = ReadPacer.create({ clock: ManualClock.create(), chunksPerS: 1, chunksAtOnce: 1 });
  for (let body = 0; body < 1_000; body++) {
    const reader = PacedReader.create(pacer, {
      pause: () => t2.fail('paused'),
      resume: () => undefined,
    });
    reader.recordChunks(FREE_CHUNKS);
    reader.finish();
  }
});

t.test('a source that is paused is resumed at its end', async (t2) => {
  let isPaused = false;
  const pacer = ReadPacer.create({ clock: ManualClock.create(), chunksPerS: 1, chunksAtOnce: 1 });
  const reader = PacedReader.create(pacer, {
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
    },
  });
  reader.recordChunks(FREE_CHUNKS + 100);
  t2.ok(isPaused);
  reader.finish();
  t2.notOk(isPaused);
});
