import { computeHash32, type EndpointId } from '@lovagearch/common';
import type { CacheEvent, EngineAddress, EngineClient } from '@lovagearch/engine-client';
import { MAX_NODES_SHORT_CYCLE } from '@lovagearch/membership';

/** Events passed to the handler in one batch. */
const MAX_BATCH_EVENTS = 256;
/** Pages of events read from one runner in one poll. */
const MAX_PAGES_PER_POLL = 4;

/**
 * In a large region, cache events are read only in every fourth poll, because reading them in each
 * poll takes 4.3 KB/s (docs/CAPACITY.md). A delay is harmless, as the events only correct hints.
 */
const POLLS_PER_EVENT_READ = 4;

/**
 * Tells whether a runner's cache events are read in a poll round. In a large region, the reads of
 * different runners are spread over the rounds.
 *
 * @param nodes number of active nodes in the region
 */
export const shouldReadCacheEvents = (runner: EndpointId, round: number, nodes: number): boolean =>
  nodes <= MAX_NODES_SHORT_CYCLE || (round + computeHash32(runner)) % POLLS_PER_EVENT_READ === 0;

/**
 * One step in a runner's cache event stream. `new_boot`: the runner restarted with an empty cache
 * or, without `previous`, this node starts reading. `gap`: the events between the two sequence
 * numbers were lost.
 */
export type CacheEventBatch =
  | { readonly type: 'events'; readonly events: readonly CacheEvent[] }
  | { readonly type: 'gap'; readonly afterSeq: number; readonly nextSeq: number }
  | { readonly type: 'new_boot'; readonly previous: string | undefined };

export type CacheEventHandler = (runner: EndpointId, boot: string, batch: CacheEventBatch) => void;

interface Cursor {
  readonly boot: string;
  readonly seq: number;
}

/** Splits events into batches at gaps in the sequence numbers. */
const splitAtGaps = (events: readonly CacheEvent[], afterSeq: number): CacheEventBatch[] => {
  const batches: CacheEventBatch[] = [];
  let contiguousEvents: CacheEvent[] = [];
  let lastSeq = afterSeq;
  const flushEvents = (): void => {
    if (contiguousEvents.length > 0) batches.push({ type: 'events', events: contiguousEvents });
    contiguousEvents = [];
  };
  for (const event of events) {
    if (event.seq <= lastSeq) continue;
    if (event.seq > lastSeq + 1) {
      flushEvents();
      batches.push({ type: 'gap', afterSeq: lastSeq, nextSeq: event.seq });
    }
    if (contiguousEvents.length >= MAX_BATCH_EVENTS) flushEvents();
    contiguousEvents.push(event);
    lastSeq = event.seq;
  }
  flushEvents();
  return batches;
};

/** Reads the cache events of the runners whose first watcher is this node. */
export class CacheEventReader {
  private readonly cursors = new Map<EndpointId, Cursor>();

  private constructor(
    private readonly engines: EngineClient,
    private readonly handleBatch: CacheEventHandler = () => undefined,
  ) {}

  static create(engines: EngineClient, handleBatch?: CacheEventHandler): CacheEventReader {
    return new CacheEventReader(engines, handleBatch);
  }

  /** Removes the cursors of all other runners. */
  retainRunners(runners: ReadonlySet<EndpointId>): void {
    for (const id of this.cursors.keys()) {
      if (!runners.has(id)) this.cursors.delete(id);
    }
  }

  /** Reads a runner's new events and passes them to the handler in order. */
  async read(runner: EndpointId, address: EngineAddress, boot: string): Promise<void> {
    let cursor = this.cursors.get(runner);
    if (cursor?.boot !== boot) {
      const previous = cursor?.boot;
      cursor = { boot, seq: 0 };
      this.cursors.set(runner, cursor);
      this.handleBatch(runner, boot, { type: 'new_boot', previous });
    }
    for (let page = 0; page < MAX_PAGES_PER_POLL; page++) {
      const result = await this.engines.readCacheEvents(address, cursor);
      // A restart between the status check and this read is handled by the next poll.
      if (result.isErr() || result.value.boot !== cursor.boot) return;
      const { events, nextSeq } = result.value;
      for (const batch of splitAtGaps(events, cursor.seq)) this.handleBatch(runner, boot, batch);
      if (events.length === 0 || nextSeq <= cursor.seq) return;
      cursor = { boot, seq: nextSeq };
      this.cursors.set(runner, cursor);
    }
  }
}
