import { setImmediate as nextLoopTurn } from 'node:timers/promises';

/** Turns of the event loop in which a close is read that arrived together with a request. */
const CLOSE_READ_TURNS = 2;
/** The same in a process that is late, where a close that arrived later than the request is waiting as well. */
const LATE_CLOSE_READ_TURNS = 5;

/**
 * Waits until a close has been read that arrived before the request could be served. A late process would otherwise
 * send requests whose callers have given up.
 */
export const waitForQueuedClose = async (readDelayMs: number): Promise<void> => {
  const turns = readDelayMs > 0 ? LATE_CLOSE_READ_TURNS : CLOSE_READ_TURNS;
  for (let turn = 0; turn < turns; turn++) await nextLoopTurn();
};
