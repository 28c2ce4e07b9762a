/** What a service double logged of one call. */
export interface ServiceRun {
  readonly idempotencyKey: string | null;
  /** Request id of the call that ran first. */
  readonly attempt: string | null;
  readonly count: number;
}

/** How one call with an idempotency key ended for its caller. */
export type KeyedOutcome =
  | { readonly type: 'answered'; readonly digest: string }
  | {
      readonly type: 'refused';
      readonly run: 'not_run' | 'ran' | 'unknown';
      readonly error: string;
    }
  /** No answer arrived: the entry process died or was frozen. */
  | { readonly type: 'lost' };

export interface KeyedCall {
  readonly key: string;
  /** Distinct for each call; the service logs it. */
  readonly requestId: string;
  readonly outcome: KeyedOutcome;
}

export interface RunPromiseViolation {
  readonly type:
    'answer_changed' | 'answered_without_run' | 'not_run_has_run' | 'ran_more_than_once';
  readonly key: string;
}

const countRuns = (runs: readonly ServiceRun[]): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { count, idempotencyKey } of runs) {
    if (idempotencyKey === null) continue;
    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + count);
  }
  return counts;
};

const groupByKey = (calls: readonly KeyedCall[]): Map<string, KeyedCall[]> => {
  const byKey = new Map<string, KeyedCall[]>();
  for (const call of calls) byKey.set(call.key, [...(byKey.get(call.key) ?? []), call]);
  return byKey;
};

const isNotRun = ({ outcome }: KeyedCall): boolean =>
  outcome.type === 'refused' && outcome.run === 'not_run';

/** Whether a caller was told that the call ran. */
const hasToldRun = ({ outcome }: KeyedCall): boolean =>
  outcome.type === 'answered' || (outcome.type === 'refused' && outcome.run === 'ran');

const getKeyViolation = (
  calls: readonly KeyedCall[],
  count: number,
  ranIds: ReadonlySet<string>,
): RunPromiseViolation['type'] | undefined => {
  const digests = new Set(
    calls.flatMap(({ outcome }) => (outcome.type === 'answered' ? [outcome.digest] : [])),
  );
  if (digests.size > 1) return 'answer_changed';
  if (calls.some((call) => isNotRun(call) && ranIds.has(call.requestId))) return 'not_run_has_run';
  if (count > 0 && calls.every(isNotRun)) return 'not_run_has_run';
  if (count === 0 && calls.some(hasToldRun)) return 'answered_without_run';
  return undefined;
};

/**
 * Checks invariants 5 and 6 over the run logs of all instances of a service and the results of all
 * callers: a key runs at most once, a call that was refused with `not_run` did not run, and all
 * answers of a key are the same.
 *
 * @param runs logs of all instances, those that were killed included
 * @example
 * const violations = findRunPromiseViolations(runs, calls);
 */
export const findRunPromiseViolations = (
  runs: readonly ServiceRun[],
  calls: readonly KeyedCall[],
): RunPromiseViolation[] => {
  const counts = countRuns(runs);
  const ranIds = new Set(runs.flatMap(({ attempt }) => attempt ?? []));
  const violations: RunPromiseViolation[] = [];
  for (const [key, count] of counts) {
    if (count > 1) violations.push({ type: 'ran_more_than_once', key });
  }
  for (const [key, ofKey] of groupByKey(calls)) {
    const type = getKeyViolation(ofKey, counts.get(key) ?? 0, ranIds);
    if (type !== undefined) violations.push({ type, key });
  }
  return violations;
};

/**
 * Checks that the last result of each key, after all faults, is one that a caller can act on: an
 * answer, or `unknown` when the answer of a call that may have run is lost.
 */
export const findUnsettledCalls = (lastCalls: readonly KeyedCall[]): KeyedCall[] =>
  lastCalls.filter(({ outcome }) => {
    if (outcome.type === 'answered') return false;
    return !(outcome.type === 'refused' && outcome.error === 'outcome_unknown');
  });

/** One reading of the revision that a node has in force. */
export interface RevisionReading {
  readonly node: string;
  /** Changes when the process is replaced. */
  readonly process: number;
  readonly revision: number;
}

/** Returns the nodes whose revision went down in readings in the order of time. */
export const findReverts = (readings: readonly RevisionReading[]): string[] => {
  const highest = new Map<string, number>();
  const reverted = new Set<string>();
  for (const { node, process, revision } of readings) {
    const id = `${node}/${process}`;
    if (revision < (highest.get(id) ?? 0)) reverted.add(node);
    highest.set(id, Math.max(revision, highest.get(id) ?? 0));
  }
  return [...reverted];
};
