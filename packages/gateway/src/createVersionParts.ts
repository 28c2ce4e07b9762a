import { type Clock, getErrorMessage } from '@lovagearch/common';
import type { StoreClock, TableMirror } from '@lovagearch/mirror';
import type { ClusterState } from './clusterState.js';
import type { GatewayLog } from './gatewayLog.js';
import { listSharingNodes } from './loadSharing.js';
import type { OriginSharing } from './originSharing.js';
import { createStreamStatementSource } from './peerStreams.js';
import { SoftwareRecord } from './softwareRecord.js';
import type { GatewayDependencies, GatewaySettings } from './types.js';
import { VersionKnowledge } from './versionKnowledge.js';

/** The parts of a gateway that follow which software versions are in use. */
export interface VersionParts {
  readonly softwareRecord: SoftwareRecord;
  readonly versionKnowledge: VersionKnowledge;
  /** Records that a stream is sent to an endpoint of a software version. */
  readonly recordSoftwareSend: (service: string, version: string) => void;
}

export interface VersionPartsInput {
  readonly settings: GatewaySettings;
  readonly dependencies: GatewayDependencies;
  readonly clusterState: ClusterState;
  readonly endpointMirror: TableMirror;
  readonly sharedMirror: TableMirror;
  readonly originSharing: OriginSharing;
  readonly isMembershipKnown: () => boolean;
  readonly isStoreReachable: () => boolean;
  readonly storeClock: StoreClock;
  /** Clock reading at which this process started. */
  readonly startMs: number;
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/** Creates the record of software versions and what confirms it. */
export const createVersionParts = (input: VersionPartsInput): VersionParts => {
  const { settings, dependencies, clusterState, endpointMirror, sharedMirror } = input;
  const { originSharing, isMembershipKnown, isStoreReachable, storeClock } = input;
  const { startMs, clock, log } = input;
  const { nodeName, isFirstStart, bounds } = settings;
  const { shared, rows, tables, random, responseLimits } = dependencies;
  const { endpoints } = clusterState;
  const logNotRecorded = (error: unknown) =>
    log.logStateChange('software_not_recorded', { reason: getErrorMessage(error) });
  const softwareRecord = SoftwareRecord.create({
    nodeName,
    isFirstStart,
    endpoints,
    endpointMirror,
    sharedMirror,
    shared,
    rows,
    clock,
    storeClock,
    listStreamServices: () => clusterState.trafficRules?.streamServices ?? [],
    listSharingNodes: () => listSharingNodes(clusterState, settings),
    areRegistrationsComplete: () =>
      endpointMirror.getAgeMs(clock.nowMs()) < bounds.contactLimitMs &&
      !clusterState.isAwaitingRegistrations(),
    isMembershipKnown,
    onWriteError: logNotRecorded,
    log,
  });
  const listPeers = () =>
    new Map(
      [...clusterState.listPeers()]
        .filter(([name]) => name !== nodeName)
        .map(([name, { address }]): [string, string] => [name, address]),
    );
  const versionKnowledge = VersionKnowledge.create({
    endpoints,
    mirrors: [endpointMirror, sharedMirror],
    tables,
    isStoreReachable,
    softwareRecord,
    originSharing,
    listPeers: () => (isMembershipKnown() ? listPeers() : undefined),
    askPeer: createStreamStatementSource(responseLimits),
    startSpreadMs: bounds.contactLimitMs,
    startMs,
    clock,
    random,
  });
  const recordSoftwareSend = (service: string, version: string) => {
    softwareRecord.recordSend(service, version).catch(logNotRecorded);
  };
  return { softwareRecord, versionKnowledge, recordSoftwareSend };
};
