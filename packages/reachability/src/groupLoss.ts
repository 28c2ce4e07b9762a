import {
  GROUP_QUIET_MS,
  HEARD_MARGIN_MS,
  MIN_FAILING_OF_ALL,
  MIN_FAILING_OF_SERVICE,
  MIN_FAILING_OF_ZONE,
  MIN_FAILING_UNHEARD,
  MIN_HEARD_OF_GROUP,
  SUSPICION_SPREAD_MS,
} from './constants.js';
import type { LinkRecord } from './linkRecord.js';
import type { ObservedEndpoint } from './types.js';

/** A registered endpoint, with the evidence of its link if there is any. */
export interface GroupMember {
  readonly endpoint: ObservedEndpoint;
  readonly record: LinkRecord | undefined;
}

/** Members that share a part of the network. */
interface Group {
  readonly members: readonly GroupMember[];
  readonly minFailing: number;
}

/** Whether peers have heard an endpoint since attempts at it began to fail, a moment ago. */
const isHeardElsewhere = (
  { heardElsewhereAtMs }: ObservedEndpoint,
  beganAtMs: number,
  nowMs: number,
): boolean =>
  nowMs - beganAtMs < SUSPICION_SPREAD_MS && heardElsewhereAtMs > beganAtMs + HEARD_MARGIN_MS;

const isSilentMember = ({ record }: GroupMember, nowMs: number): boolean =>
  record?.isSilent(nowMs) === true;

/** Evidence that a whole group of endpoints is out of reach. */
export interface GroupLoss {
  /** Clock reading since which nothing is heard from the group. */
  readonly sinceMs: number;
  /** Whether peers hear some of the endpoints, so that their links are lost and they have not ended. */
  readonly isHeardElsewhere: boolean;
}

/**
 * Returns whether a whole group of endpoints is out of reach. Attempts at several have to fail after the last sign of
 * life of any. Without peers that hear some of these, more have to fail, as several endpoints may have ended together.
 */
const findGroupLoss = ({ members, minFailing }: Group, nowMs: number): GroupLoss | undefined => {
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
      if (isHeardElsewhere(member.endpoint, failures.beganAtMs, nowMs)) heard += 1;
    } else if (isSilentMember(member, nowMs)) silent += 1;
  }
  const isHeard = heard >= MIN_HEARD_OF_GROUP;
  const needed = isHeard ? Math.min(minFailing, members.length) : MIN_FAILING_UNHEARD;
  if (failing < MIN_HEARD_OF_GROUP || failing + silent < needed) return undefined;
  return { sinceMs, isHeardElsewhere: isHeard };
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
 * @returns the loss of its group, by member
 * @example
 * for (const [member, loss] of findInferredLosses(members, nowMs)) member.record.groupLoss = loss;
 */
export const findInferredLosses = (
  members: readonly GroupMember[],
  nowMs: number,
): Map<GroupMember, GroupLoss> => {
  const losses = new Map<GroupMember, GroupLoss>();
  for (const group of createGroups(members)) {
    const loss = findGroupLoss(group, nowMs);
    if (loss === undefined) continue;
    for (const member of group.members)
      if (losses.get(member)?.isHeardElsewhere !== true) losses.set(member, loss);
  }
  return losses;
};

/**
 * Finds the endpoints that no connection was opened to since attempts at several others of their service or of its zone
 * failed, while peers heard these.
 *
 * @example
 * for (const { endpoint } of findUntriedMembers(members, nowMs)) verify(endpoint);
 */
export const findUntriedMembers = (
  members: readonly GroupMember[],
  nowMs: number,
): GroupMember[] => {
  if (!members.some(({ record }) => record?.failures !== undefined)) return [];
  const untried: GroupMember[] = [];
  for (const group of createGroups(members)) {
    let failing = 0;
    let sinceMs = nowMs;
    let connectedAtMs = Number.NEGATIVE_INFINITY;
    for (const { endpoint, record } of group.members) {
      connectedAtMs = Math.max(connectedAtMs, record?.connectedAtMs ?? connectedAtMs);
      const beganAtMs = record?.failures?.beganAtMs;
      if (beganAtMs === undefined || !isHeardElsewhere(endpoint, beganAtMs, nowMs)) continue;
      failing += 1;
      sinceMs = Math.min(sinceMs, beganAtMs);
    }
    if (failing < MIN_HEARD_OF_GROUP || connectedAtMs > sinceMs) continue;
    for (const member of group.members)
      if (member.record?.failures === undefined) untried.push(member);
  }
  return untried;
};
