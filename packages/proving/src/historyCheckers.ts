import { TOKENS_PER_BLOCK } from '@lovagearch/common';
import { type HistoryDecision, type HistoryEvent, parseHistory } from './historyLines.js';
import { ProofError } from './proofCase.js';

/** Decisions that a promise forbids; `request` is the one at which the history breaks it. */
export interface HistoryViolation {
  readonly type:
    | 'completed_unverified'
    | 'ended_twice'
    | 'import_not_offered'
    | 'import_too_deep'
    | 'segment_of_other_account'
    | 'segment_of_other_version'
    | 'stream_of_other_account'
    | 'version_changed'
    | 'went_back';
  readonly request: string;
}

type Chosen = Extract<HistoryDecision, { type: 'chosen' }>;
type HistoryChecker = (events: readonly HistoryEvent[]) => HistoryViolation | undefined;

/** Remembers the first value under each key. */
class FirstValues {
  private readonly values = new Map<string, string>();

  /** Returns whether the key is new or has this value already. */
  has(key: string, value: string): boolean {
    const first = this.values.get(key) ?? value;
    this.values.set(key, first);
    return first === value;
  }
}

const listChosenByStream = (events: readonly HistoryEvent[]): ReadonlyMap<string, Chosen> => {
  const chosen = new Map<string, Chosen>();
  for (const { decision } of events) {
    if (decision.type !== 'chosen' || decision.streamId === undefined) continue;
    chosen.set(decision.streamId, decision);
  }
  return chosen;
};

/**
 * Promise 1: a runner imports only from a segment that it was pointed to, and no more than that
 * segment holds. A stream whose choice was lost with its node can't be checked.
 */
export const findBlockViolation: HistoryChecker = (events) => {
  const chosenByStream = listChosenByStream(events);
  for (const { request, decision } of events) {
    if (decision.type !== 'verified' || decision.importedTokens === 0) continue;
    const chosen = chosenByStream.get(decision.streamId);
    if (chosen === undefined) continue;
    if (chosen.segment === undefined) return { type: 'import_not_offered', request };
    if (decision.importedTokens > chosen.segment.depth * TOKENS_PER_BLOCK) {
      return { type: 'import_too_deep', request };
    }
  }
  return undefined;
};

/** Promise 2: no stream and no segment serves two accounts, at any node. */
export const findIsolationViolation: HistoryChecker = (events) => {
  const accounts = new Map<string, string>();
  const streams = new FirstValues();
  const segments = new FirstValues();
  for (const { request, decision } of events) {
    if (decision.type === 'accepted') accounts.set(request, decision.account);
    const account = accounts.get(request);
    if (account === undefined) continue;
    const streamId = 'streamId' in decision ? decision.streamId : undefined;
    if (streamId !== undefined && !streams.has(streamId, account)) {
      return { type: 'stream_of_other_account', request };
    }
    if (decision.type !== 'chosen' || decision.segment === undefined) continue;
    if (!segments.has(decision.segment.tag, account)) {
      return { type: 'segment_of_other_account', request };
    }
  }
  return undefined;
};

/**
 * Promise 3: a request keeps its weight version, and no segment serves two versions. Before any
 * stream was accepted, a request that no runner took may choose its version anew.
 */
export const findVersionViolation: HistoryChecker = (events) => {
  const versions = new Map<string, string>();
  const begun = new Set<string>();
  const segments = new FirstValues();
  for (const { request, decision } of events) {
    if (decision.type === 'resumed' || decision.type === 'continued') begun.add(request);
    if (decision.type === 'replanned') {
      if (begun.has(request)) return { type: 'version_changed', request };
      versions.delete(request);
    }
    if (decision.type !== 'chosen' || decision.weightVersion === undefined) continue;
    const { segment, weightVersion } = decision;
    if ((versions.get(request) ?? weightVersion) !== weightVersion) {
      return { type: 'version_changed', request };
    }
    versions.set(request, weightVersion);
    if (segment !== undefined && !segments.has(segment.tag, weightVersion)) {
      return { type: 'segment_of_other_version', request };
    }
  }
  return undefined;
};

interface AnswerProgress {
  readonly tokens: number;
  readonly isVerified: boolean;
  readonly hasEnded: boolean;
}

const NO_PROGRESS: AnswerProgress = { tokens: 0, isVerified: false, hasEnded: false };

const applyAnswerDecision = (
  decision: HistoryDecision,
  progress: AnswerProgress,
): AnswerProgress | HistoryViolation['type'] => {
  switch (decision.type) {
    case 'continued':
      if (progress.hasEnded || decision.offset < progress.tokens) return 'went_back';
      return { ...progress, tokens: decision.offset };
    case 'verified':
      if (progress.hasEnded || decision.tokens < progress.tokens) return 'went_back';
      return { ...progress, tokens: decision.tokens, isVerified: true };
    case 'completed':
      if (progress.hasEnded) return 'ended_twice';
      // Answers of plain services are not generated and have no such decision.
      if (decision.detail === 'whole answer' && !progress.isVerified) return 'completed_unverified';
      return { ...progress, hasEnded: true };
    case 'caller_left':
    case 'refused':
      return progress.hasEnded ? 'ended_twice' : { ...progress, hasEnded: true };
    default:
      return progress;
  }
};

/**
 * Promise 4: an answer ends once, as a whole one only after its text was verified, and a
 * continuation never goes back behind tokens that were sent.
 */
export const findAnswerViolation: HistoryChecker = (events) => {
  const answers = new Map<string, AnswerProgress>();
  for (const { request, decision } of events) {
    const after = applyAnswerDecision(decision, answers.get(request) ?? NO_PROGRESS);
    if (typeof after === 'string') return { type: after, request };
    answers.set(request, after);
  }
  return undefined;
};

const CHECKERS: readonly HistoryChecker[] = [
  findBlockViolation,
  findIsolationViolation,
  findVersionViolation,
  findAnswerViolation,
];

/**
 * Checks the histories of all nodes, by node id.
 *
 * @throws ProofError with the first violation
 */
export const checkHistories = (histories: ReadonlyMap<string, string>): void => {
  const events = [...histories].flatMap(([node, content]) => parseHistory(node, content));
  for (const find of CHECKERS) {
    const violation = find(events);
    if (violation === undefined) continue;
    throw new ProofError(`history: ${violation.type} in request ${violation.request}`);
  }
};
