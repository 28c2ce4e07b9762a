import { computeHash32 } from '@lovagearch/common';
import { MAX_REPORTED_AGE_MS } from './constants.js';
import type { Endpoint } from './endpoint.js';

/** Load of one node at one endpoint. All fields are numbers, so that many entries fit in a datagram. */
export interface LoadDigestEntry {
  /** Hash of the endpoint's id. */
  readonly endpoint: number;
  /** Prompt tokens of requests without a first byte. */
  readonly pendingTokens: number;
  readonly active: number;
  /** Prompt and output tokens of all active requests. */
  readonly activeTokens: number;
  /** Milliseconds by which the oldest request without a first byte exceeds its expected time. */
  readonly oldestWaitMs: number;
  /** Age of the endpoint's last load report when the digest was created; -1 without a report. */
  readonly reportAgeMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of work in the load report; with `bytesAgeMs` only of endpoints that state it. */
  readonly workPercent?: number | undefined;
  /** Age of the last bytes that the node received from the endpoint, in milliseconds. */
  readonly bytesAgeMs?: number | undefined;
}

/** Computes the key of an endpoint in load digests. */
export const computeDigestKey = (endpointId: string): number => computeHash32(endpointId);

const createContentionFields = (
  { lastReport, lastBytesAtMs }: Endpoint,
  nowMs: number,
): Pick<LoadDigestEntry, 'bytesAgeMs' | 'workPercent'> =>
  lastReport?.workPercent === undefined
    ? {}
    : {
        workPercent: lastReport.workPercent,
        bytesAgeMs: Math.round(Math.min(nowMs - lastBytesAtMs, MAX_REPORTED_AGE_MS)),
      };

/** Creates the entry of an endpoint that this node doesn't reach: its requests there wait for the link. */
const createUnreachableEntry = (endpoint: Endpoint): LoadDigestEntry => ({
  endpoint: computeDigestKey(endpoint.record.id),
  pendingTokens: 0,
  active: 0,
  activeTokens: 0,
  oldestWaitMs: 0,
  reportAgeMs: -1,
  running: 0,
  waiting: 0,
  slots: 0,
});

/**
 * Creates the entries for endpoints with active or just finished requests or a recent load report.
 *
 * @param maxReportAgeMs maximum age of a load report that is forwarded to peers
 * @param isReachable whether this node reaches an endpoint; otherwise its entry replaces the ones before with no load
 */
export const createLoadDigest = (
  endpoints: Iterable<Endpoint>,
  maxReportAgeMs: number,
  nowMs: number,
  isReachable: (endpoint: Endpoint) => boolean = () => true,
): LoadDigestEntry[] => {
  const entries: LoadDigestEntry[] = [];
  for (const endpoint of endpoints) {
    const reportAgeMs = endpoint.getLoadAgeMs(nowMs);
    const hasReport = endpoint.isLastReportDirect && reportAgeMs <= maxReportAgeMs;
    if (endpoint.active === 0 && !hasReport && !endpoint.hasPendingDigestEntry) continue;
    endpoint.hasPendingDigestEntry = endpoint.active > 0;
    if (!isReachable(endpoint)) {
      entries.push(createUnreachableEntry(endpoint));
      continue;
    }
    const report = endpoint.lastReport;
    entries.push({
      endpoint: computeDigestKey(endpoint.record.id),
      pendingTokens: Math.round(endpoint.ownPendingTokens),
      active: endpoint.active,
      activeTokens: Math.round(endpoint.ownActiveTokens),
      oldestWaitMs: Math.round(endpoint.getOldestWaitMs(nowMs)),
      reportAgeMs: hasReport ? Math.round(reportAgeMs) : -1,
      running: report?.running ?? 0,
      waiting: report?.waiting ?? 0,
      slots: report?.slots ?? 0,
      ...createContentionFields(endpoint, nowMs),
    });
  }
  return entries;
};

/** Applies the entries of a peer's digest. */
export const applyLoadDigest = (
  findEndpointByKey: (key: number) => Endpoint | undefined,
  peer: string,
  entries: readonly LoadDigestEntry[],
  nowMs: number,
): void => {
  for (const entry of entries) {
    const endpoint = findEndpointByKey(entry.endpoint);
    if (endpoint === undefined) continue;
    endpoint.recordPeerLoad(peer, entry, nowMs);
    if (entry.bytesAgeMs !== undefined) endpoint.recordPeerBytes(nowMs - entry.bytesAgeMs);
    if (entry.reportAgeMs < 0) continue;
    const { running, waiting, slots, workPercent } = entry;
    endpoint.recordPeerReport({ running, waiting, slots, workPercent }, nowMs - entry.reportAgeMs);
  }
};
