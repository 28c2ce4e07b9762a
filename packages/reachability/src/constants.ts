/** Minimum time between the starts of two failed attempts that count separately, in milliseconds; short losses end. */
export const SEPARATE_ATTEMPTS_MS = 100;
/** Separate failed attempts after which an endpoint counts as out of reach; one may have lost a packet. */
export const CONFIRMING_FAILURES = 2;
/** The same for attempts that time out while open connections carry bytes; links of a zone may lose 8 % of the packets. */
export const CONFIRMING_TIMEOUTS_OF_LIVE_LINK = 3;
/**
 * Time for which nearly all endpoints with requests of a service have to be silent for it to be suspicious, in
 * milliseconds. Streams have an event every 300 ms at least, by their callers' bounds.
 */
export const GROUP_SILENCE_MS = 450;
/** The same where no peer hears the endpoints, or where a single one has requests; a sound one may be silent for 1 s. */
export const LONE_SILENCE_MS = 1_100;
/** Number of endpoints of a service whose silence is suspicious as early as if peers heard them. */
export const MIN_SILENT_UNHEARD = 4;
/** Share of the endpoints with requests that have to be silent; the answer of one may be on its way. */
export const SILENT_SHARE = 0.8;
/**
 * Time by which a peer has to hear an endpoint later than the failure here began, in milliseconds. What a peer reports
 * is dated by the arrival of its datagram, which takes up to 16 ms, and by reading it.
 */
export const HEARD_MARGIN_MS = 50;
/** Time after which an endpoint that peers no longer hear may have ended, in milliseconds; ten heartbeats. */
export const HEARD_MEMORY_MS = 10_000;
/**
 * Time for which nothing may be heard from a group of endpoints for its links to count as lost together, in
 * milliseconds; the first attempts after a cut are overdue then.
 */
export const GROUP_QUIET_MS = 300;
/** Endpoints of a service in one zone that have to fail for the others to count as out of reach without an attempt. */
export const MIN_FAILING_OF_ZONE = 2;
/** The same of a service. */
export const MIN_FAILING_OF_SERVICE = 3;
/** The same of all endpoints. */
export const MIN_FAILING_OF_ALL = 4;
/** Endpoints of a service, or of all, that have to fail where no peer hears any; other causes seldom take as many at once. */
export const MIN_FAILING_UNHEARD = 5;
/** Failing endpoints that peers have to hear for the fewer; several that end at once are heard by nobody. */
export const MIN_HEARD_OF_GROUP = 2;
/** Time in which a link that is lost again counts as unstable, in milliseconds; cuts last for some seconds. */
export const UNSTABLE_WINDOW_MS = 10_000;
/** Maximum number of successful attempts in a row that an unstable link needs to be used again. */
export const MAX_REQUIRED_SUCCESSES = 4;
/** Interval of the probes of a service that is out of reach, in milliseconds; a healed link is used within 500 ms. */
export const PROBE_INTERVAL_MS = 350;
/** Minimum interval of all probes of a node, in milliseconds. */
export const MIN_PROBE_INTERVAL_MS = 100;
/** Part of an interval by which probes are spread, so that nodes don't probe together. */
export const PROBE_JITTER = 0.3;
/** Longest interval of the probes of an endpoint that may have ended, in milliseconds; restarts register anew. */
export const MAX_PROBE_INTERVAL_MS = 3_000;
/** Delay of the probes that follow a successful one, in milliseconds, before jitter. */
export const FOLLOWING_PROBE_DELAY_MS = 25;
/** Probes that follow each successful one of a service. */
export const FOLLOWING_PROBES = 2;
/** Suspected endpoints that are probed at once; those of a service of a small deployment, in one go. */
export const MAX_VERIFIED_AT_ONCE = 10;
/** Probes of suspected endpoints per second beyond that. */
export const VERIFICATIONS_PER_S = 10;
/**
 * Time for which a failed attempt makes others of its group suspicious, in milliseconds; a lost link is found within it.
 */
export const SUSPICION_SPREAD_MS = 2_000;
/** Minimum time between two probes that verify a suspicion of an endpoint, in milliseconds. */
export const VERIFY_INTERVAL_MS = 400;
/** The same where such a probe has succeeded, in milliseconds; requests that wait for long at a busy endpoint stay suspicious. */
export const VERIFIED_MS = 3_000;
