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

/** Age of an endpoint that nobody has confirmed; it needs a direct check. */
export const UNCONFIRMED_AGE_MS = 3_600_000;

const EMPTY_LOAD = { queuedPromptTokens: 0, activeSequences: 0, cacheUse: 0, ageMs: 0 };

/** What this node itself met on an endpoint; readings of its own clock. */
export interface OwnContact {
  readonly load?: EngineLoad;
  readonly loadMs?: number;
  /**
   * Last answer to a call. It shows that the endpoint is alive, not that it takes new work: a
   * draining endpoint goes on answering the calls that it runs.
   */
  readonly answerMs?: number;
  /** Last direct check that found the endpoint ready. */
  readonly checkMs?: number;
  readonly failureMs?: number;
  readonly leavingMs?: number;
}

/** One endpoint of the VM list and what this node itself knows of it. */
export interface EndpointRecord {
  readonly id: EndpointId;
  /** Stands for the id in load rows. */
  readonly hash: number;
  readonly kind: 'runner' | 'service';
  readonly service: ServiceId;
  readonly url: string;
  readonly region: Region;
  readonly zone: Zone;
  readonly isLeavingInVmList: boolean;
  readonly details: EndpointDetails | undefined;
  readonly own: OwnContact;
  readonly gate: RecoveryGate;
}

/** Returns the address at which a VM serves. */
export const getVmUrl = ({ host, ports }: Vm): string => `http://${host}:${ports.main ?? 0}`;

/** Creates the record of a VM, with what is known of it if it is the same endpoint as before. */
export const createRecord = (
  vm: Vm,
  kind: 'runner' | 'service',
  known: EndpointRecord | undefined,
): EndpointRecord => {
  const url = getVmUrl(vm);
  const same = known?.url === url ? known : undefined;
  return {
    id: toId<EndpointId>(vm.id),
    hash: computeIdHash(vm.id),
    kind,
    service: toId<ServiceId>(vm.service ?? ''),
    url,
    region: toId<Region>(vm.region),
    zone: toId<Zone>(vm.zone),
    isLeavingInVmList: vm.state === 'leaving',
    details: same?.details,
    own: same?.own ?? {},
    gate: same?.gate ?? RecoveryGate.create(),
  };
};

const getAgeMs = (atMs: number | undefined, nowMs: number): number | undefined =>
  atMs === undefined ? undefined : nowMs - atMs;

/** Combines the witnesses and the own contact; closes the gate of an endpoint that is dead. */
export const computeRecordState = (
  record: EndpointRecord,
  witnesses: readonly ObservedRow[],
  nowMs: number,
): EndpointState => {
  const { gate, isLeavingInVmList, own } = record;
  const state = computeEndpointState(witnesses, {
    isLeavingInVmList,
    leavingNoticeAgeMs: getAgeMs(own.leavingMs, nowMs),
    failureAgeMs: getAgeMs(own.failureMs, nowMs),
    successAgeMs: getAgeMs(Math.max(own.answerMs ?? -Infinity, own.checkMs ?? -Infinity), nowMs),
  });
  gate.update(state);
  return state;
};

/** The youngest row of a watcher that saw the endpoint. */
export const getSeenRow = (witnesses: readonly ObservedRow[]): ObservedRow | undefined =>
  witnesses.find(({ source, state }) => source >= 0 && state !== 'unseen' && state !== 'failed');

/** Whether a watcher reports other models, weight versions or boot than the known details. */
export const hasOutdatedDetails = (
  { details, kind }: EndpointRecord,
  row: LoadRow | undefined,
): boolean => {
  if (kind === 'service') return false;
  if (details === undefined) return true;
  return row !== undefined && row.versionTag !== computeVersionTag(details.boot, details.models);
};

/** Creates the row by which this node reports what it met on an endpoint. */
export const createMarkRow = (
  record: EndpointRecord,
  state: RowState,
  seen: LoadRow | undefined,
): LoadRow => ({
  ...EMPTY_LOAD,
  versionTag: 0,
  ...seen,
  endpoint: record.hash,
  state,
});

const toViewState = (
  state: EndpointState,
  isForeign: boolean,
  isConfirmed: boolean,
): EndpointView['state'] => {
  if (state !== 'unknown') return state;
  // Load of another large region is not replicated; a direct check comes before the first use.
  return isForeign || isConfirmed ? 'ready' : 'loading';
};

/** Creates what the rest of the entry process sees of an endpoint. */
export const createView = (
  record: EndpointRecord,
  witnesses: readonly ObservedRow[],
  ownRegion: Region,
  nowMs: number,
): EndpointView => {
  const { details, gate, own } = record;
  const state = computeRecordState(record, witnesses, nowMs);
  const seen = getSeenRow(witnesses);
  const checkAgeMs = getAgeMs(own.checkMs, nowMs) ?? UNCONFIRMED_AGE_MS;
  const loadAgeMs = getAgeMs(own.loadMs, nowMs) ?? UNCONFIRMED_AGE_MS;
  const seenAgeMs = seen?.ageMs ?? UNCONFIRMED_AGE_MS;
  const isOwnYounger = own.load !== undefined && loadAgeMs <= seenAgeMs;
  const load = (isOwnYounger ? own.load : seen) ?? EMPTY_LOAD;
  const confirmedAgeMs = Math.min(checkAgeMs, seenAgeMs);
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
      ageMs: Math.min(loadAgeMs, seenAgeMs),
    },
    boot: details?.boot ?? '',
    // A returning endpoint takes one request at a time, which `verifyFresh` decides.
    confirmedAgeMs: gate.isLimited ? UNCONFIRMED_AGE_MS : confirmedAgeMs,
  };
};
