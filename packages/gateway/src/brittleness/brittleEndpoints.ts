import {
  ASSUMED_NODE_COUNT,
  computeRejectionShare,
  type Endpoint,
  type RejectionBlock,
  type RejectionRisk,
  type RejectionShare,
  type RoomReport,
} from '@lovagearch/endpoints';
import type { GatewayContext } from '../gatewayContext.js';
import { logRoomReduced, logStatementChange } from '../requestLog.js';
import type { ResponseHead } from '../types.js';

/** Age up to which a load report shows that an endpoint has free slots, in milliseconds; digests come faster. */
const MAX_ROOM_REPORT_AGE_MS = 300;
/** Statuses with which an endpoint turns a request away for want of room. */
const FULL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

interface KnownShare {
  readonly rejectionsPerS: number;
  readonly peerRevision: number;
  readonly isMembershipKnown: boolean;
  readonly share: RejectionShare;
}

/** Shares by endpoint; computing one hashes the names of all nodes. */
const knownShares = new WeakMap<Endpoint, KnownShare>();

const findShare = (
  { clusterState, settings, isMembershipKnown: isKnown }: GatewayContext,
  endpoint: Endpoint,
  rejectionsPerS: number,
): RejectionShare => {
  const { peerRevision } = clusterState;
  const known = knownShares.get(endpoint);
  const isMembershipKnown = isKnown();
  if (
    known?.rejectionsPerS === rejectionsPerS &&
    known.peerRevision === peerRevision &&
    known.isMembershipKnown === isMembershipKnown
  )
    return known.share;
  // A node serves requests before it finds its own announcement in the shared table.
  const nodeNames = [...new Set([...clusterState.listPeerNames(), settings.nodeName])];
  const { id } = endpoint.record;
  const share = computeRejectionShare(
    rejectionsPerS,
    id,
    settings.nodeName,
    isMembershipKnown ? nodeNames : undefined,
  );
  knownShares.set(endpoint, { rejectionsPerS, peerRevision, isMembershipKnown, share });
  return share;
};

const findRoomReport = (endpoint: Endpoint, nowMs: number): RoomReport | undefined => {
  const { lastReport, record } = endpoint;
  if (lastReport === undefined || endpoint.getLoadAgeMs(nowMs) > MAX_ROOM_REPORT_AGE_MS)
    return undefined;
  const { running, waiting } = endpoint.estimateRequests(nowMs);
  const freeSlots = Math.min(lastReport.slots, record.slots) - running - waiting;
  return freeSlots > 0 ? { freeSlots, reportedAtMs: endpoint.lastReportAtMs } : undefined;
};

/** Returns the rejections per second that an endpoint bears; undefined if it isn't brittle. */
export const findRejectionLimit = (
  { brittleServices, clock }: Pick<GatewayContext, 'brittleServices' | 'clock'>,
  { record, statements }: Endpoint,
): number | undefined =>
  statements.brittleness.findLimit(brittleServices.findStatement(record.service), clock.nowMs());

/** Returns what a decision about a send to a brittle endpoint is made from; undefined if the endpoint isn't brittle. */
export const findRejectionRisk = (
  context: GatewayContext,
  endpoint: Endpoint,
): RejectionRisk | undefined => {
  const rejectionsPerS = findRejectionLimit(context, endpoint);
  if (rejectionsPerS === undefined) return undefined;
  const { brittleServices, clock, clusterState } = context;
  const nowMs = clock.nowMs();
  return {
    share: findShare(context, endpoint, rejectionsPerS),
    active: endpoint.active,
    heardAtMs: Math.max(endpoint.lastBytesAtMs, endpoint.lastPeerResponseAtMs),
    report: findRoomReport(endpoint, nowMs),
    nodeCount: context.isMembershipKnown() ? clusterState.nodeCount : ASSUMED_NODE_COUNT,
    demandPerS: brittleServices.estimateDemandPerS(endpoint.record.service, nowMs),
  };
};

/** Returns what forbids this node to send a brittle endpoint another request now, or undefined. */
export const findRejectionBlock = (
  context: GatewayContext,
  endpoint: Endpoint,
): RejectionBlock | undefined => {
  const risk = findRejectionRisk(context, endpoint);
  if (risk === undefined) return undefined;
  const { clock, random, isExplanation } = context;
  const { rejections } = endpoint.statements;
  const budget = isExplanation === true ? rejections.createCopy() : rejections;
  return budget.findBlock(risk, clock.nowMs(), random);
};

/** Records a request that is placed at an endpoint. */
export const recordBrittleSend = (
  context: GatewayContext,
  endpoint: Endpoint,
  requestId: string,
): void => {
  const risk = findRejectionRisk(context, endpoint);
  if (risk === undefined) return;
  const { clock, random } = context;
  endpoint.statements.rejections.recordSent(requestId, risk, clock.nowMs(), random);
};

/** Whether a placed request may leave now that its connection is open. */
export const confirmBrittleSend = (
  context: GatewayContext,
  endpoint: Endpoint,
  requestId: string,
): boolean => {
  const risk = findRejectionRisk(context, endpoint);
  if (risk === undefined) return true;
  const { rejections } = endpoint.statements;
  return rejections.confirmSend(requestId, risk, context.clock.nowMs());
};

/**
 * Applies what a response of an endpoint says or shows about the rejections that it bears.
 *
 * @param sentAtMs clock reading at which the request of the response was sent
 */
export const recordBrittleResponse = (
  context: GatewayContext,
  endpoint: Endpoint,
  requestId: string,
  head: ResponseHead,
  sentAtMs: number,
): void => {
  const { brittleServices, clock, metrics, random } = context;
  const { record, statements } = endpoint;
  const { brittleness, rejections } = statements;
  const { service } = record;
  const nowMs = clock.nowMs();
  const isRejection = head.isNotRun || head.isMisdirected;
  // An endpoint may reject a request before it handles it; the next response lifts the statement.
  if (!isRejection || head.brittleness.type !== 'none') {
    const change = brittleness.applyStatement(head.brittleness, sentAtMs, nowMs);
    logStatementChange(context, endpoint, requestId, 'brittleness', change);
    if (change?.type === 'lifted') brittleServices.recordLifted(service);
  }
  if (head.brittleness.type === 'named')
    brittleServices.recordNamed(service, head.brittleness.rejectionsPerS, nowMs);
  const risk = findRejectionRisk(context, endpoint);
  if (risk === undefined) return;
  if (!isRejection) {
    rejections.recordAccepted(requestId);
    return;
  }
  if (head.isMisdirected || !FULL_STATUSES.has(head.status)) return;
  const active = Math.max(0, endpoint.active - 1);
  rejections.recordRejected(requestId, active, nowMs, random);
  metrics.recordBrittleRejection(service);
  logRoomReduced(context, endpoint, requestId, risk);
};
