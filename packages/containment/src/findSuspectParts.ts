import type { InterruptedRequest } from './promptPartCrashes.js';

/**
 * Number of crashes after which a part is quarantined, with as many different requests: a request that
 * is retried during an outage of several endpoints is interrupted by each of them.
 */
export const MAX_CRASHES_WITH_PART = 3;

/** A crash, with the requests in flight and those of their parts that no completed request clears. */
export interface CrashEvidence {
  readonly endpointStart: string;
  readonly requests: readonly InterruptedRequest[];
}

/** Requests that have all of these parts are not sent to endpoints. */
export interface PartQuarantine {
  readonly partIds: readonly string[];
  readonly crashes: number;
}

interface PartEvidence {
  readonly endpointStarts: Set<string>;
  readonly fingerprints: Set<string>;
  /** Parts that all interrupted requests with this part have. */
  commonPartIds: readonly string[];
}

const countEvidence = ({ endpointStarts, fingerprints }: PartEvidence): number =>
  Math.min(endpointStarts.size, fingerprints.size);

const collectEvidence = (crashes: readonly CrashEvidence[]): Map<string, PartEvidence> => {
  const evidenceByPart = new Map<string, PartEvidence>();
  for (const { endpointStart, requests } of crashes) {
    for (const { fingerprint, partIds } of requests) {
      for (const partId of partIds) {
        const evidence = evidenceByPart.get(partId) ?? {
          endpointStarts: new Set<string>(),
          fingerprints: new Set<string>(),
          commonPartIds: partIds,
        };
        evidence.endpointStarts.add(endpointStart);
        evidence.fingerprints.add(fingerprint);
        evidence.commonPartIds = evidence.commonPartIds.filter((id) => partIds.includes(id));
        evidenceByPart.set(partId, evidence);
      }
    }
  }
  return evidenceByPart;
};

/** Returns the sets that no other set contains. */
const selectLargest = (partSets: readonly (readonly string[])[]): (readonly string[])[] =>
  partSets.filter(
    (partIds) =>
      !partSets.some(
        (other) =>
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
 * const quarantines = findSuspectParts([{ endpointStart: 'i-1/1', requests }]);
 */
export const findSuspectParts = (crashes: readonly CrashEvidence[]): PartQuarantine[] => {
  const quarantines = new Map<string, PartQuarantine>();
  let unexplained = crashes;
  for (;;) {
    const evidenceByPart = collectEvidence(unexplained);
    const counts = [...evidenceByPart.values()].map(countEvidence);
    const mostCrashes = counts.reduce((most, count) => Math.max(most, count), 0);
    if (mostCrashes < MAX_CRASHES_WITH_PART) return [...quarantines.values()];
    const suspects = new Set<string>();
    const partSets: (readonly string[])[] = [];
    for (const [partId, evidence] of evidenceByPart) {
      if (countEvidence(evidence) < mostCrashes) continue;
      suspects.add(partId);
      partSets.push(evidence.commonPartIds);
    }
    for (const partIds of selectLargest(partSets))
      quarantines.set([...partIds].sort().join(','), { partIds, crashes: mostCrashes });
    unexplained = unexplained.filter(
      ({ requests }) =>
        !requests.some(({ partIds }) => partIds.some((partId) => suspects.has(partId))),
    );
  }
};
