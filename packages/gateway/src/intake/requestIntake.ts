import type { Socket } from 'node:net';
import type { Clock } from '@lovagearch/common';
import { LOGGED_EVENT_LOOP_DELAY_MS } from '../constants.js';
import type { EventLoopMonitor } from '../eventLoopMonitor.js';
import { AcceptBacklog } from './acceptBacklog.js';
import { BUSY_TURN_MS, CLOSE_READ_TURNS, LATE_CLOSE_READ_TURNS } from './constants.js';
import { LoopTurns } from './loopTurns.js';
import { StartQueue, type WaitingStart } from './startQueue.js';

/** When a request arrived, at the earliest, and where it may have waited. */
export interface Arrival {
  readonly atMs: number;
  readonly delayMs: number;
  readonly waitedIn: 'accept_queue' | 'event_loop' | 'none';
}

interface AcceptedConnection {
  readonly arrivedAtMs: number;
  readonly acceptedAtMs: number;
}

/** The wait of a request for its turn; `cancel` ends it at once. */
export interface TurnWait {
  readonly ended: Promise<void>;
  readonly cancel: () => void;
}

/**
 * Dates requests by the time at which they reached this machine, and begins them a few at a time, after the closes and
 * connections that arrived with them have been read.
 *
 * @example
 * server.on('connection', (socket) => intake.recordConnection(socket, 'callers'));
 * const { atMs } = intake.dateRequest(incoming.socket);
 * await intake.waitForTurn().ended;
 */
export class RequestIntake {
  private readonly turns = LoopTurns.create();

  private readonly queue = StartQueue.create();

  private readonly backlogs = new Map<string, AcceptBacklog>();

  /** Connections without a request so far. */
  private readonly accepted = new WeakMap<Socket, AcceptedConnection>();

  private turn = 0;

  private isWatching = false;

  private constructor(
    private readonly clock: Clock,
    private readonly eventLoopMonitor: Pick<EventLoopMonitor, 'getReadDelayMs'>,
  ) {}

  static create(
    clock: Clock,
    eventLoopMonitor: Pick<EventLoopMonitor, 'getReadDelayMs'>,
  ): RequestIntake {
    return new RequestIntake(clock, eventLoopMonitor);
  }

  /** Number of requests that were read and have not begun. */
  get waitingRequestCount(): number {
    return this.queue.size;
  }

  /** Returns how long the bytes that are read now may have waited, in milliseconds. */
  getReadDelayMs(): number {
    const nowMs = this.clock.nowMs();
    return Math.max(this.turns.getReadDelayMs(nowMs), this.eventLoopMonitor.getReadDelayMs(nowMs));
  }

  /** Records a connection that a listener has just accepted. */
  recordConnection(socket: Socket, listener: string): void {
    this.watchTurns();
    const nowMs = this.clock.nowMs();
    const backlog = this.backlogs.get(listener) ?? AcceptBacklog.create();
    this.backlogs.set(listener, backlog);
    const arrivedAtMs = backlog.recordConnection(nowMs, this.getReadDelayMs());
    this.accepted.set(socket, { arrivedAtMs, acceptedAtMs: nowMs });
  }

  /** Returns when a request arrived whose head has just been read. */
  dateRequest(socket: Socket): Arrival {
    this.watchTurns();
    const nowMs = this.clock.nowMs();
    const readDelayMs = this.getReadDelayMs();
    const readSinceMs = nowMs - readDelayMs;
    const connection = this.accepted.get(socket);
    this.accepted.delete(socket);
    // The request of a connection that was accepted since may have waited together with it.
    if (
      connection !== undefined &&
      connection.acceptedAtMs >= readSinceMs &&
      connection.arrivedAtMs < readSinceMs
    ) {
      const { arrivedAtMs } = connection;
      return { atMs: arrivedAtMs, delayMs: nowMs - arrivedAtMs, waitedIn: 'accept_queue' };
    }
    return {
      atMs: readSinceMs,
      delayMs: readDelayMs,
      waitedIn: readDelayMs > 0 ? 'event_loop' : 'none',
    };
  }

  /** Waits until a request may begin: a close that arrived before it could be served has been read by then. */
  waitForTurn(): TurnWait {
    let begin: () => void = () => undefined;
    const ended = new Promise<void>((resolve) => {
      begin = resolve;
    });
    const isLate = this.getReadDelayMs() >= LOGGED_EVENT_LOOP_DELAY_MS;
    const start: WaitingStart = {
      queuedAtMs: this.clock.nowMs(),
      fromTurn: this.turn + (isLate ? LATE_CLOSE_READ_TURNS : CLOSE_READ_TURNS),
      begin,
    };
    this.queue.add(start);
    this.watchTurns();
    return {
      ended,
      cancel: () => {
        if (this.queue.remove(start)) begin();
      },
    };
  }

  /** Follows the turns of the event loop until it has nothing to do. */
  private watchTurns(): void {
    if (this.isWatching) return;
    this.isWatching = true;
    setImmediate(this.handleTurn);
  }

  /** Called after the event loop has read from all connections that were readable. */
  private readonly handleTurn = (): void => {
    const nowMs = this.clock.nowMs();
    const isBusy = this.turns.getTurnMs(nowMs) >= BUSY_TURN_MS;
    this.turn += 1;
    this.turns.recordTurn(nowMs);
    let hasBacklog = false;
    for (const backlog of this.backlogs.values()) {
      backlog.recordTurn();
      hasBacklog ||= backlog.isPossible;
    }
    for (const start of this.queue.take({ turn: this.turn, nowMs, hasBacklog })) start.begin();
    if (isBusy || hasBacklog || this.queue.size > 0) {
      setImmediate(this.handleTurn);
      return;
    }
    this.isWatching = false;
    this.turns.recordIdle();
  };
}
