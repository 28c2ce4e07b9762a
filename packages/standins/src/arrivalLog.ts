import { type Clock, processClock } from '@lovagearch/common';

/** Arrivals that are kept; the oldest is dropped beyond this. */
const MAX_ARRIVALS = 20_000;

interface Arrival {
  readonly atMs: number;
  readonly fields: object;
}

/**
 * The calls that reached a stand-in, in order. Ages are reported instead of times, since the clocks
 * of two processes are never compared.
 */
export class ArrivalLog {
  private readonly arrivals: Arrival[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock = processClock): ArrivalLog {
    return new ArrivalLog(clock);
  }

  add(fields: object): void {
    this.arrivals.push({ atMs: this.clock.nowMs(), fields });
    if (this.arrivals.length > MAX_ARRIVALS) this.arrivals.shift();
  }

  /** Lists the arrivals, each with `ageMs`, the time since it arrived. */
  list(): object[] {
    const nowMs = this.clock.nowMs();
    return this.arrivals.map(({ atMs, fields }) => ({ ...fields, ageMs: nowMs - atMs }));
  }
}
