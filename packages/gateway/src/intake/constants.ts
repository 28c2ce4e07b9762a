/** Requests that begin in one turn of the event loop; between turns, connections and closes are read. */
export const MAX_STARTS_PER_TURN = 4;
/**
 * Time for which waiting connections are accepted before requests begin, in milliseconds. The shortest response-time
 * goals are below 100 ms.
 */
export const MAX_ACCEPT_PRECEDENCE_MS = 50;
/**
 * Length of a turn from which the next one is timed too, in milliseconds. Shorter turns add little to the delay of reads,
 * and each timed turn costs a wake-up.
 */
export const BUSY_TURN_MS = 10;
/** Turns of the event loop in which a close is read that arrived together with a request. */
export const CLOSE_READ_TURNS = 2;
/** The same in a process that is late, where a close that arrived later than the request is waiting as well. */
export const LATE_CLOSE_READ_TURNS = 5;
