import type { InterruptedRequest } from './promptPartCrashes.js';

/**
 * Number of crashes after which a part is quarantined, with as many different requests: a request that
 * is retried during an outage of several endpoints is interrupted by each of them.
 */
export const MAX_CRASHES_WITH_PART = 3;

/**
 * Number of crashes from which a part is quarantined however many others there were: no more endpoints may be lost
 * to it.
 */
export const MAX_CRASHES_AMONG_OTHERS = 5;
/**
 * Share of the crashes between the first and the last one with a part that have to be with it. Where endpoints
 * crash often for other reasons, some part is in flight in several crashes by chance, but spread over many others.
 */
const MIN_CRASH_SHARE = 1 / 3;

/** A crash, with the requests in flight and those of their parts that no completed request clears. */
export interface CrashEvidence {
  readonly endpointStart: string;
  /** Clock reading at the crash. */
  readonly atMs: number;
  readonly requests: readonly InterruptedRequest[];
}

/** Requests that have all of these parts are not sent to endpoints. */
export interface PartQuarantine {
  readonly partIds: readonly string[];
  readonly crashes: number;
  /** Clock reading at the last of these crashes. */
  readonly lastCrashMs: number;
  /** Nodes that saw a request with these parts being interrupted. */
  readonly reporters: readonly string[];
}

interface PartEvidence {
  /** Clock readings at the crashes, by start of the endpoint. */
  readonly crashTimes: Map<string, number>;
  readonly fingerprints: Set<string>;
  readonly reporters: Set<string>;
  /** Parts that all interrupted requests with this part have. */
  commonPartIds: readonly string[];
}

const countEvidence = ({ crashTimes, fingerprints }: PartEvidence): number =>
  Math.min(crashTimes.size, fingerprints.size);

const collectEvidence = (crashes: readonly CrashEvidence[]): Map<string, PartEvidence> => {
  const evidenceByPart = new Map<string, PartEvidence>();
  for (const { endpointStart, atMs, requests } of crashes) {
    for (const { fingerprint, partIds, reporter } of requests) {
      for (const partId of partIds) {
        const evidence = evidenceByPart.get(partId) ?? {
          crashTimes: new Map<string, number>(),
          fingerprints: new Set<string>(),
          reporters: new Set<string>(),
          commonPartIds: partIds,
        };
        evidence.crashTimes.set(endpointStart, atMs);
        evidence.fingerprints.add(fingerprint);
        evidence.reporters.add(reporter);
        evidence.commonPartIds = evidence.commonPartIds.filter((id) => partIds.includes(id));
        evidenceByPart.set(partId, evidence);
      }
    }
  }
  return evidenceByPart;
};

/** Whether a part was in flight in so many crashes, or so many of those at the time, that chance is unlikely. */
const isSuspect = (evidence: PartEvidence, crashes: readonly CrashEvidence[]): boolean => {
  const count = countEvidence(evidence);
  if (count < MAX_CRASHES_WITH_PART) return false;
  if (count >= MAX_CRASHES_AMONG_OTHERS) return true;
  const times = [...evidence.crashTimes.values()];
  const firstMs = Math.min(...times);
  const lastMs = Math.max(...times);
  const concurrent = crashes.filter(({ atMs }) => atMs >= firstMs && atMs <= lastMs);
  return count >= concurrent.length * MIN_CRASH_SHARE;
};

/** Returns the evidence whose common parts no other evidence contains. */
const selectLargest = (candidates: readonly PartEvidence[]): PartEvidence[] =>
  candidates.filter(
    ({ commonPartIds: partIds }) =>
      !candidates.some(
        ({ commonPartIds: other }) =>
          other.length > partIds.length && partIds.every((partId) => other.includes(partId)),
      ),
  );

/**
 * Finds the parts that explain the crashes. The part that was in flight in the most crashes is taken
 * first, and the crashes that it explains count for no other part, since sound requests are in flight
 * in them as well. Where several parts explain as many crashes and occur together, only requests that
 * have all of them are quarantined: the others show which of the parts is sound.
 *
 * @example
 * const quarantines = findSuspectParts([{ endpointStart: 'i-1/1', atMs: 0, requests }]);
 */
export const findSuspectParts = (crashes: readonly CrashEvidence[]): PartQuarantine[] => {
  const quarantines = new Map<string, PartQuarantine>();
  let unexplained = crashes;
  for (;;) {
    const evidenceByPart = [...collectEvidence(unexplained)].filter(([, evidence]) =>
      isSuspect(evidence, crashes),
    );
    if (evidenceByPart.length === 0) return [...quarantines.values()];
    const mostCrashes = Math.max(...evidenceByPart.map(([, evidence]) => countEvidence(evidence)));
    const suspects = new Set<string>();
    const candidates: PartEvidence[] = [];
    for (const [partId, evidence] of evidenceByPart) {
      if (countEvidence(evidence) < mostCrashes) continue;
      suspects.add(partId);
      candidates.push(evidence);
    }
    for (const { commonPartIds: partIds, crashTimes, reporters } of selectLargest(candidates))
      quarantines.set([...partIds].sort().join(','), {
        partIds,
        crashes: mostCrashes,
        lastCrashMs: Math.max(...crashTimes.values()),
        reporters: [...reporters],
      });
    unexplained = unexplained.filter(
      ({ requests }) =>
        !requests.some(({ partIds }) => partIds.some((partId) => suspects.has(partId))),
    );
  }
};
