import { toId, type EndpointId, type Region, type ServiceId, type Zone } from '@lovagearch/common';
import type { EngineLoad } from '@lovagearch/engine-client';
import {
  computeEndpointState,
  computeIdHash,
  computeVersionTag,
  RecoveryGate,
  type EndpointState,
  type LoadRow,
  type RowState,
  type ObservedRow,
} from '@lovagearch/membership';
import type { Vm } from '@lovagearch/platform-client';
import type { EndpointDetails } from './nodeTopics.js';
import type { EndpointView } from './types.js';

/** Age of an endpoint that was never confirmed. It needs a direct check. */
export const UNCONFIRMED_AGE_MS = 3_600_000;

const EMPTY_LOAD = { queuedPromptTokens: 0, activeSequences: 0, cacheUse: 0, ageMs: 0 };

/** What this node observed in its own calls to an endpoint. Times are readings of its clock. */
export interface LocalContact {
  readonly load?: EngineLoad;
  readonly loadReceivedMs?: number;
  /**
   * Last response to a call. It shows that the endpoint is alive, not that it takes new work: a
   * draining endpoint still responds to its running calls.
   */
  readonly lastResponseMs?: number;
  /** Last direct check in which the endpoint was ready. */
  readonly lastReadyCheckMs?: number;
  readonly lastFailureMs?: number;
  readonly leavingNoticeMs?: number;
}

/** An endpoint of the VM list and what this node has learned about it. */
export interface EndpointRecord {
  readonly id: EndpointId;
  /** Identifies the endpoint in load rows. */
  readonly hash: number;
  readonly kind: 'runner' | 'service';
  readonly service: ServiceId;
  readonly url: string;
  readonly region: Region;
  readonly zone: Zone;
  readonly isLeavingInVmList: boolean;
  readonly details: EndpointDetails | undefined;
  readonly localContact: LocalContact;
  readonly recoveryGate: RecoveryGate;
}

/** Returns the base URL of a VM's main port. */
export const getVmUrl = ({ host, ports }: Vm): string => `http://${host}:${ports.main ?? 0}`;

/** Creates the record of a VM. Known details and state are kept if its URL is unchanged. */
export const createRecord = (
  vm: Vm,
  kind: 'runner' | 'service',
  known: EndpointRecord | undefined,
): EndpointRecord => {
  const url = getVmUrl(vm);
  const unmoved = known?.url === url ? known : undefined;
  return {
    id: toId<EndpointId>(vm.id),
    hash: computeIdHash(vm.id),
    kind,
    service: toId<ServiceId>(vm.service ?? ''),
    url,
    region: toId<Region>(vm.region),
    zone: toId<Zone>(vm.zone),
    isLeavingInVmList: vm.state === 'leaving',
    details: unmoved?.details,
    localContact: unmoved?.localContact ?? {},
    recoveryGate: unmoved?.recoveryGate ?? RecoveryGate.create(),
  };
};

const computeAgeMs = (atMs: number | undefined, nowMs: number): number | undefined =>
  atMs === undefined ? undefined : nowMs - atMs;

/**
 * Computes the state from the observed rows and the local contact. A dead endpoint's recovery gate
 * is closed.
 */
export const computeRecordState = (
  record: EndpointRecord,
  observations: readonly ObservedRow[],
  nowMs: number,
): EndpointState => {
  const { recoveryGate, isLeavingInVmList, localContact } = record;
  const state = computeEndpointState(observations, {
    isLeavingInVmList,
    leavingNoticeAgeMs: computeAgeMs(localContact.leavingNoticeMs, nowMs),
    failureAgeMs: computeAgeMs(localContact.lastFailureMs, nowMs),
    successAgeMs: computeAgeMs(
      Math.max(
        localContact.lastResponseMs ?? -Infinity,
        localContact.lastReadyCheckMs ?? -Infinity,
      ),
      nowMs,
    ),
  });
  recoveryGate.update(state);
  return state;
};

/** Returns the newest row of a watcher that reached the endpoint. */
export const findLiveRow = (witnesses: readonly ObservedRow[]): ObservedRow | undefined =>
  witnesses.find(({ source, state }) => source >= 0 && state !== 'unseen' && state !== 'failed');

/** Tells whether the models, weight versions or boot id in a row differ from the known details. */
export const hasOutdatedDetails = (
  { details, kind }: EndpointRecord,
  row: LoadRow | undefined,
): boolean => {
  if (kind === 'service') return false;
  if (details === undefined) return true;
  return row !== undefined && row.versionTag !== computeVersionTag(details.boot, details.models);
};

/** Creates the row that reports a state which this node observed on the data path. */
export const createDataPathRow = (
  record: EndpointRecord,
  state: RowState,
  latestRow: LoadRow | undefined,
): LoadRow => ({
  ...EMPTY_LOAD,
  versionTag: 0,
  ...latestRow,
  endpoint: record.hash,
  state,
});

const toViewState = (
  state: EndpointState,
  isOtherRegion: boolean,
  isConfirmed: boolean,
): EndpointView['state'] => {
  if (state !== 'unknown') return state;
  // The load of other large regions is not replicated. A direct check precedes the first use.
  return isOtherRegion || isConfirmed ? 'ready' : 'loading';
};

/** Creates the view of an endpoint for the rest of the entry process. */
export const createView = (
  record: EndpointRecord,
  witnesses: readonly ObservedRow[],
  ownRegion: Region,
  nowMs: number,
): EndpointView => {
  const { details, recoveryGate: gate, localContact: own } = record;
  const state = computeRecordState(record, witnesses, nowMs);
  const liveRow = findLiveRow(witnesses);
  const checkAgeMs = computeAgeMs(own.lastReadyCheckMs, nowMs) ?? UNCONFIRMED_AGE_MS;
  const loadAgeMs = computeAgeMs(own.loadReceivedMs, nowMs) ?? UNCONFIRMED_AGE_MS;
  const liveRowAgeMs = liveRow?.ageMs ?? UNCONFIRMED_AGE_MS;
  const isLocalLoadNewer = own.load !== undefined && loadAgeMs <= liveRowAgeMs;
  const load = (isLocalLoadNewer ? own.load : liveRow) ?? EMPTY_LOAD;
  const confirmedAgeMs = Math.min(checkAgeMs, liveRowAgeMs);
  return {
    id: record.id,
    service: record.service,
    kind: record.kind,
    url: record.url,
    region: record.region,
    zone: record.zone,
    state: toViewState(state, record.region !== ownRegion, checkAgeMs < UNCONFIRMED_AGE_MS),
    models: details?.models ?? [],
    load: {
      queuedPromptTokens: load.queuedPromptTokens,
      activeSequences: load.activeSequences,
      cacheUse: load.cacheUse,
      ageMs: Math.min(loadAgeMs, liveRowAgeMs),
    },
    boot: details?.boot ?? '',
    // `verifyReady` admits one trial request at a time to a recovering endpoint.
    confirmedAgeMs: gate.isLimited ? UNCONFIRMED_AGE_MS : confirmedAgeMs,
  };
};
