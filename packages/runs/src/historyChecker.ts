import { assertNever } from '@lovagearch/common';

/** One observation of a run, in the order in which it was made. */
export type RunEvent =
  /** A byte of the call may have reached the endpoint. */
  | { readonly type: 'sent'; readonly runId: string; readonly attempt: string }
  | { readonly type: 'recorded'; readonly runId: string; readonly digest: string }
  /** A later call with the same key got a recorded answer. */
  | { readonly type: 'returned'; readonly runId: string; readonly digest: string }
  | { readonly type: 'refused_not_run'; readonly runId: string; readonly attempt: string };

/** Two observations that the at-most-once promise forbids. */
export interface RunViolation {
  readonly type: 'answer_changed' | 'not_run_was_sent' | 'sent_twice';
  readonly runId: string;
}

interface RunHistory {
  readonly sent?: string;
  readonly digest?: string;
  readonly refused: ReadonlySet<string>;
}

const findEventViolation = (
  event: RunEvent,
  facts: RunHistory,
): RunViolation['type'] | undefined => {
  switch (event.type) {
    case 'sent':
      if (facts.refused.has(event.attempt)) return 'not_run_was_sent';
      return facts.sent === undefined ? undefined : 'sent_twice';
    case 'recorded':
      return facts.digest === undefined || facts.digest === event.digest
        ? undefined
        : 'answer_changed';
    case 'returned':
      return facts.digest === event.digest ? undefined : 'answer_changed';
    case 'refused_not_run':
      return facts.sent === event.attempt ? 'not_run_was_sent' : undefined;
    default:
      return assertNever(event);
  }
};

const applyEvent = (event: RunEvent, facts: RunHistory): RunHistory => {
  if (event.type === 'sent') return { ...facts, sent: event.attempt };
  if (event.type === 'recorded') return { ...facts, digest: event.digest };
  if (event.type !== 'refused_not_run') return facts;
  return { ...facts, refused: new Set([...facts.refused, event.attempt]) };
};

/**
 * Checks a history within one retention time: a key is sent at most once, a recorded answer is
 * returned unchanged, and no attempt that was sent is refused with `not_run`.
 *
 * @returns the first violation, or undefined
 */
export const findRunViolation = (events: readonly RunEvent[]): RunViolation | undefined => {
  const runs = new Map<string, RunHistory>();
  for (const event of events) {
    const facts: RunHistory = runs.get(event.runId) ?? { refused: new Set<string>() };
    const type = findEventViolation(event, facts);
    if (type !== undefined) return { type, runId: event.runId };
    runs.set(event.runId, applyEvent(event, facts));
  }
  return undefined;
};
