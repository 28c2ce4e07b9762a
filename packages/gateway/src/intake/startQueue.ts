import { MAX_ACCEPT_PRECEDENCE_MS, MAX_STARTS_PER_TURN } from './constants.js';

/** A request that was read and has not begun. */
export interface WaitingStart {
  readonly queuedAtMs: number;
  /** First turn in which it may begin. */
  readonly fromTurn: number;
  readonly begin: () => void;
}

/** State of the event loop after the reads of a turn. */
export interface TurnState {
  readonly turn: number;
  readonly nowMs: number;
  /** Whether connections may wait to be accepted. */
  readonly hasBacklog: boolean;
}

/**
 * Requests that were read, in the order of their arrival. Few of them begin in a turn of the event loop, so that closes,
 * time limits and new connections are handled before further work, however much of it there is.
 *
 * @example
 * queue.add({ queuedAtMs, fromTurn: turn + 2, begin });
 * for (const start of queue.take({ turn, nowMs, hasBacklog: false })) start.begin();
 */
export class StartQueue {
  private readonly waiting = new Set<WaitingStart>();

  static create(): StartQueue {
    return new StartQueue();
  }

  get size(): number {
    return this.waiting.size;
  }

  add(start: WaitingStart): void {
    this.waiting.add(start);
  }

  /** Removes a request that shall not begin; returns whether it was waiting. */
  remove(start: WaitingStart): boolean {
    return this.waiting.delete(start);
  }

  /** Takes the requests that begin in this turn. */
  take({ turn, nowMs, hasBacklog }: TurnState): WaitingStart[] {
    const taken: WaitingStart[] = [];
    for (const start of this.waiting) {
      if (taken.length >= MAX_STARTS_PER_TURN) break;
      if (turn < start.fromTurn) continue;
      if (hasBacklog && nowMs - start.queuedAtMs < MAX_ACCEPT_PRECEDENCE_MS) break;
      this.waiting.delete(start);
      taken.push(start);
    }
    return taken;
  }
}
