import { toId, type NodeId, type Region, type Zone } from '@lovagearch/common';
import { z } from 'zod';
import { MAX_UPDATES_PER_MESSAGE, RANDOM_RECORDS_PER_MESSAGE } from './constants.js';

/** Member states on the wire, by increasing precedence within one incarnation. */
export const MEMBER_STATES = ['alive', 'leaving', 'suspect', 'unreachable', 'dead'] as const;
export type MemberState = (typeof MEMBER_STATES)[number];

/** Identity, location and peer address of a node. */
export interface MemberIdentity {
  readonly id: NodeId;
  readonly region: Region;
  readonly zone: Zone;
  /** `host:port` */
  readonly address: string;
}

/** State of a member as reported by one node. */
export interface MemberUpdate extends MemberIdentity {
  readonly state: MemberState;
  /** Incremented only by the member itself, to refute a suspicion or to change its state. */
  readonly incarnation: number;
}

const MAX_UPDATES_ACCEPTED = 2 + MAX_UPDATES_PER_MESSAGE + RANDOM_RECORDS_PER_MESSAGE;
const textSchema = z.string().min(1).max(128);

/**
 * Wire form of an update, `[id, region, zone, address, state, incarnation]`; a tuple keeps probes
 * small.
 */
export const memberUpdateSchema = z
  .tuple([textSchema, textSchema, textSchema, textSchema, z.enum(MEMBER_STATES), z.int().min(0)])
  .transform(([id, region, zone, address, state, incarnation]): MemberUpdate => ({
    id: toId<NodeId>(id),
    region: toId<Region>(region),
    zone: toId<Zone>(zone),
    address,
    state,
    incarnation,
  }));

export const memberUpdatesSchema = z.array(memberUpdateSchema).max(MAX_UPDATES_ACCEPTED);
/** Payload and reply of `membership.probe`. */
export const probeSchema = z.object({ updates: memberUpdatesSchema });
/** Payload of `membership.indirect`. */
export const indirectProbeSchema = probeSchema.extend({ target: textSchema });
/** Reply of `membership.indirect`. */
export const indirectReplySchema = probeSchema.extend({ isAlive: z.boolean() });

/** Returns the wire form of updates. */
export const encodeUpdates = (updates: readonly MemberUpdate[]): unknown[] =>
  updates.map(({ id, region, zone, address, state, incarnation }) => [
    id,
    region,
    zone,
    address,
    state,
    incarnation,
  ]);

/** Whether an update supersedes the known one: by incarnation, then by precedence of the state. */
export const isNewer = (
  update: Pick<MemberUpdate, 'incarnation' | 'state'>,
  known: Pick<MemberUpdate, 'incarnation' | 'state'>,
): boolean => {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return MEMBER_STATES.indexOf(update.state) > MEMBER_STATES.indexOf(known.state);
};
