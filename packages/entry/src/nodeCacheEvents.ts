import { computeHash32, type EndpointId } from '@lovagearch/common';
import type { CacheEvent, EngineAddress, EngineClient } from '@lovagearch/engine-client';
import { MAX_NODES_SHORT_CYCLE } from '@lovagearch/membership';

/** Events handed over at once. */
const MAX_BATCH_EVENTS = 256;
/** Pages read from one runner in one poll. */
const MAX_PAGES = 4;

/**
 * Polls for each read of a runner's cache events in a large region, where reading them in each poll
 * takes 4.3 KB/s (docs/CAPACITY.md). The events only correct hints.
 */
const POLLS_PER_EVENT_READ = 4;

/**
 * Whether a runner's cache events are read in a round of polls; the runners of a large region have
 * their turns in different rounds.
 *
 * @param nodes active nodes of the region
 */
export const isEventRound = (runner: EndpointId, round: number, nodes: number): boolean =>
  nodes <= MAX_NODES_SHORT_CYCLE || (round + computeHash32(runner)) % POLLS_PER_EVENT_READ === 0;

/**
 * What is known of a runner's cache events. `new_boot`: the runner restarted with an empty cache,
 * or, without `previous`, this node begins to read. `gap`: events between the two sequence numbers
 * were lost.
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

/** Splits events where sequence numbers are missing. */
const toBatches = (events: readonly CacheEvent[], afterSeq: number): CacheEventBatch[] => {
  const batches: CacheEventBatch[] = [];
  let run: CacheEvent[] = [];
  let lastSeq = afterSeq;
  const closeRun = (): void => {
    if (run.length > 0) batches.push({ type: 'events', events: run });
    run = [];
  };
  for (const event of events) {
    if (event.seq <= lastSeq) continue;
    if (event.seq > lastSeq + 1) {
      closeRun();
      batches.push({ type: 'gap', afterSeq: lastSeq, nextSeq: event.seq });
    }
    if (run.length >= MAX_BATCH_EVENTS) closeRun();
    run.push(event);
    lastSeq = event.seq;
  }
  closeRun();
  return batches;
};

/** Reads the cache events of the runners that this node is the first watcher of. */
export class NodeCacheEvents {
  private readonly cursors = new Map<EndpointId, Cursor>();

  private constructor(
    private readonly engines: EngineClient,
    private readonly handle: CacheEventHandler = () => undefined,
  ) {}

  static create(engines: EngineClient, handle?: CacheEventHandler): NodeCacheEvents {
    return new NodeCacheEvents(engines, handle);
  }

  /** Forgets the cursors of runners that this node no longer reads. */
  updateRunners(runners: ReadonlySet<EndpointId>): void {
    for (const id of this.cursors.keys()) {
      if (!runners.has(id)) this.cursors.delete(id);
    }
  }

  /** Reads what is new on a runner and hands it over in order. */
  async read(runner: EndpointId, address: EngineAddress, boot: string): Promise<void> {
    let cursor = this.cursors.get(runner);
    if (cursor?.boot !== boot) {
      const previous = cursor?.boot;
      cursor = { boot, seq: 0 };
      this.cursors.set(runner, cursor);
      this.handle(runner, boot, { type: 'new_boot', previous });
    }
    for (let page = 0; page < MAX_PAGES; page++) {
      const result = await this.engines.readCacheEvents(address, cursor);
      // A restart between the status and this read is handled by the next poll.
      if (result.isErr() || result.value.boot !== cursor.boot) return;
      const { events, nextSeq } = result.value;
      for (const batch of toBatches(events, cursor.seq)) this.handle(runner, boot, batch);
      if (events.length === 0 || nextSeq <= cursor.seq) return;
      cursor = { boot, seq: nextSeq };
      this.cursors.set(runner, cursor);
    }
  }
}
