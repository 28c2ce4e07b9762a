import { computeHash32 } from '@lovagearch/common';
import type { Endpoint } from './endpoint.js';

/** What one node has at one endpoint. Numbers only, so that many entries fit into one datagram. */
export interface LoadDigestEntry {
  /** Hash of the endpoint's id. */
  readonly endpoint: number;
  /** Prompt tokens of requests without a first byte. */
  readonly pendingTokens: number;
  readonly active: number;
  /** Prompt and output tokens of all requests. */
  readonly activeTokens: number;
  /** Time that the oldest request without a first byte has waited, in milliseconds. */
  readonly oldestWaitMs: number;
  /** The endpoint's last report, with its age when the digest was made; -1 without one. */
  readonly reportAgeMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Returns the number that stands for an endpoint in digests. */
export const computeDigestKey = (endpointId: string): number => computeHash32(endpointId);

/**
 * Creates the entries for the endpoints that this node uses or has heard of lately.
 *
 * @param maxReportAgeMs age up to which a report is worth passing on
 */
export const createLoadDigest = (
  endpoints: Iterable<Endpoint>,
  maxReportAgeMs: number,
  nowMs: number,
): LoadDigestEntry[] => {
  const entries: LoadDigestEntry[] = [];
  for (const endpoint of endpoints) {
    const reportAgeMs = endpoint.getLoadAgeMs(nowMs);
    const hasReport = endpoint.isLastReportDirect && reportAgeMs <= maxReportAgeMs;
    if (endpoint.active === 0 && !hasReport && !endpoint.hasPendingDigestEntry) continue;
    endpoint.hasPendingDigestEntry = endpoint.active > 0;
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
    });
  }
  return entries;
};

/** Takes in the entries of a peer. */
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
    if (entry.reportAgeMs < 0) continue;
    const { running, waiting, slots } = entry;
    endpoint.recordPeerReport({ running, waiting, slots }, nowMs - entry.reportAgeMs);
  }
};
