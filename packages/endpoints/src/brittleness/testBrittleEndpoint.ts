import type { Random } from '@lovagearch/common';

export const SLOTS = 4;
export const MEAN_WORK_MS = 200;
/** Time from which endpoints fall over, and from which their waiting rooms are smaller than usual. */
export const FALLS_FROM_MS = 4_000;
const USUAL_WAITING = 16;
const SHRINKS = [
  { fromMs: FALLS_FROM_MS, waiting: 4 },
  { fromMs: FALLS_FROM_MS + 5_000, waiting: 1 },
];
const DOWN_MS = 4_000;
const RULE_WINDOW_MS = 1_000;

/** An endpoint with slots, a waiting room that shrinks, and a bound on its rejections. */
export class SimulatedEndpoint<Call> {
  id: string;

  private running: { readonly call: Call; readonly endMs: number }[] = [];

  private waiting: Call[] = [];

  private rejectedAtMs: number[] = [];

  private downUntilMs = 0;

  constructor(
    private readonly name: string,
    private readonly rejectionsPerS: number,
  ) {
    this.id = `${name}-0`;
  }

  get load(): number {
    return this.running.length + this.waiting.length;
  }

  isDown(nowMs: number): boolean {
    return nowMs < this.downUntilMs;
  }

  receive(call: Call, nowMs: number): 'accepted' | 'rejected' {
    const room = SHRINKS.findLast(({ fromMs }) => nowMs >= fromMs)?.waiting ?? USUAL_WAITING;
    if (this.running.length < SLOTS || this.waiting.length < room) {
      this.waiting.push(call);
      return 'accepted';
    }
    this.rejectedAtMs = this.rejectedAtMs.filter((atMs) => nowMs - atMs < RULE_WINDOW_MS);
    this.rejectedAtMs.push(nowMs);
    return 'rejected';
  }

  /** Falls over if too much was rejected, and returns the calls that are lost. */
  fallIfOverrun(nowMs: number): Call[] | undefined {
    if (this.rejectedAtMs.length <= this.rejectionsPerS || nowMs < FALLS_FROM_MS) return undefined;
    const lost = [...this.running.map(({ call }) => call), ...this.waiting];
    this.running = [];
    this.waiting = [];
    this.rejectedAtMs = [];
    this.downUntilMs = nowMs + DOWN_MS;
    this.id = `${this.name}-${nowMs}`;
    return lost;
  }

  /** Returns the calls that are done, and starts others. */
  work(nowMs: number, random: Random): Call[] {
    const done = this.running.filter(({ endMs }) => endMs <= nowMs).map(({ call }) => call);
    this.running = this.running.filter(({ endMs }) => endMs > nowMs);
    for (const call of this.waiting.splice(0, SLOTS - this.running.length))
      this.running.push({ call, endMs: nowMs + MEAN_WORK_MS * (0.5 + random()) });
    return done;
  }
}
