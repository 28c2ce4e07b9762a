import { type Clock, createRandom, type Random } from '@lovagearch/common';

const MAX_EVENTS = 10_000;

type EventBody =
  | { readonly type: 'evicted'; readonly keys: readonly string[] }
  | { readonly type: 'stored'; readonly tailKey: string; readonly depth: number };

type LoggedEvent = EventBody & { readonly seq: number; readonly visibleAtMs: number };

export interface CacheEventOptions {
  readonly eventLagMs: number;
  readonly eventLossRate: number;
  readonly seed: number;
}

/** Cache events, which become readable late and some of which are lost. */
export class CacheEventLog {
  private readonly events: LoggedEvent[] = [];

  private readonly random: Random;

  private lastSeq = 0;

  private constructor(
    private readonly options: CacheEventOptions,
    private readonly clock: Clock,
  ) {
    this.random = createRandom(options.seed);
  }

  static create(options: CacheEventOptions, clock: Clock): CacheEventLog {
    return new CacheEventLog(options, clock);
  }

  add(event: EventBody): void {
    this.lastSeq += 1;
    if (this.random() < this.options.eventLossRate) return;
    const visibleAtMs = this.clock.nowMs() + this.options.eventLagMs;
    this.events.push({ ...event, seq: this.lastSeq, visibleAtMs });
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }

  /** Returns the visible events after a seq; `nextSeq` is the `after` of the next read. */
  read(afterSeq: number, limit: number): { readonly events: object[]; readonly nextSeq: number } {
    const nowMs = this.clock.nowMs();
    const events: object[] = [];
    let nextSeq = afterSeq;
    for (const { visibleAtMs, ...event } of this.events) {
      if (event.seq <= afterSeq) continue;
      if (visibleAtMs > nowMs || events.length >= limit) break;
      events.push(event);
      nextSeq = event.seq;
    }
    return { events, nextSeq };
  }
}
