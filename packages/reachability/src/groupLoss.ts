import {
  GROUP_QUIET_MS,
  HEARD_MARGIN_MS,
  MIN_FAILING_OF_ALL,
  MIN_FAILING_OF_SERVICE,
  MIN_FAILING_OF_ZONE,
  MIN_HEARD_OF_GROUP,
} from './constants.js';
import type { LinkRecord } from './linkRecord.js';
import type { ObservedEndpoint } from './types.js';

/** A registered endpoint, with the evidence of its link if there is any. */
export interface GroupMember {
  readonly endpoint: ObservedEndpoint;
  readonly record: LinkRecord | undefined;
}

interface Group {
  readonly members: readonly GroupMember[];
  readonly minFailing: number;
}

const isSilentMember = ({ record }: GroupMember, nowMs: number): boolean =>
  record?.isSilent(nowMs) === true;

/**
 * Returns since when nothing is heard from a whole group of endpoints that lost links explain, or undefined. Attempts at
 * several have to fail after the last sign of life of any, and peers have to hear some of these meanwhile: endpoints that
 * end together are heard by nobody.
 */
const findGroupLoss = ({ members, minFailing }: Group, nowMs: number): number | undefined => {
  if (members.length < 2) return undefined;
  let heardAtMs = Number.NEGATIVE_INFINITY;
  for (const { record } of members)
    if (record !== undefined) heardAtMs = Math.max(heardAtMs, record.heardAtMs);
  if (nowMs - heardAtMs < GROUP_QUIET_MS) return undefined;
  let failing = 0;
  let silent = 0;
  let heard = 0;
  let sinceMs = nowMs;
  for (const member of members) {
    const failures = member.record?.failures;
    // Refusals come at once, so that each endpoint shows by itself that it refuses.
    if (failures?.cause === 'timeout' && failures.lastBeganAtMs > heardAtMs) {
      failing += 1;
      sinceMs = Math.min(sinceMs, Math.max(failures.beganAtMs, heardAtMs));
      if (member.endpoint.heardElsewhereAtMs > failures.beganAtMs + HEARD_MARGIN_MS) heard += 1;
    } else if (isSilentMember(member, nowMs)) silent += 1;
  }
  const isLost =
    heard >= MIN_HEARD_OF_GROUP && failing + silent >= Math.min(minFailing, members.length);
  return isLost ? sinceMs : undefined;
};

const addToGroup = (
  groups: Map<string, GroupMember[]>,
  name: string,
  member: GroupMember,
): void => {
  const members = groups.get(name) ?? [];
  members.push(member);
  groups.set(name, members);
};

/** Groups endpoints that share a part of the network: those of a service in one zone, of a service, and all. */
const createGroups = (members: readonly GroupMember[]): Group[] => {
  const byService = new Map<string, GroupMember[]>();
  const byZone = new Map<string, GroupMember[]>();
  for (const member of members) {
    const { service, zone } = member.endpoint;
    addToGroup(byService, service, member);
    addToGroup(byZone, JSON.stringify([service, zone]), member);
  }
  return [
    ...[...byZone.values()].map((group) => ({ members: group, minFailing: MIN_FAILING_OF_ZONE })),
    ...[...byService.values()].map((group) => ({
      members: group,
      minFailing: MIN_FAILING_OF_SERVICE,
    })),
    { members, minFailing: MIN_FAILING_OF_ALL },
  ];
};

/**
 * Finds the endpoints that are out of reach as the links to their group are lost, although no attempt at them failed.
 *
 * @returns the clock reading since which nothing is heard from the group, by member
 * @example
 * for (const [member, sinceMs] of findInferredLosses(members, nowMs)) member.record.inferredSinceMs = sinceMs;
 */
export const findInferredLosses = (
  members: readonly GroupMember[],
  nowMs: number,
): Map<GroupMember, number> => {
  const losses = new Map<GroupMember, number>();
  for (const group of createGroups(members)) {
    const sinceMs = findGroupLoss(group, nowMs);
    if (sinceMs === undefined) continue;
    for (const member of group.members) if (!losses.has(member)) losses.set(member, sinceMs);
  }
  return losses;
};
