import { assertNever } from '@lovagearch/common';

/** One observed event of a run. */
export type RunEvent =
  /** At least one byte of the call may have reached the endpoint. */
  | { readonly type: 'sent'; readonly runId: string; readonly attempt: string }
  | { readonly type: 'recorded'; readonly runId: string; readonly digest: string }
  /** A later call with the same key received the recorded response. */
  | { readonly type: 'returned'; readonly runId: string; readonly digest: string }
  | { readonly type: 'refused_not_run'; readonly runId: string; readonly attempt: string };

/** A violation of the at-most-once guarantee. */
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
  history: RunHistory,
): RunViolation['type'] | undefined => {
  switch (event.type) {
    case 'sent':
      if (history.refused.has(event.attempt)) return 'not_run_was_sent';
      return history.sent === undefined ? undefined : 'sent_twice';
    case 'recorded':
      return history.digest === undefined || history.digest === event.digest
        ? undefined
        : 'answer_changed';
    case 'returned':
      return history.digest === event.digest ? undefined : 'answer_changed';
    case 'refused_not_run':
      return history.sent === event.attempt ? 'not_run_was_sent' : undefined;
    default:
      return assertNever(event);
  }
};

const applyEvent = (event: RunEvent, history: RunHistory): RunHistory => {
  if (event.type === 'sent') return { ...history, sent: event.attempt };
  if (event.type === 'recorded') return { ...history, digest: event.digest };
  if (event.type !== 'refused_not_run') return history;
  return { ...history, refused: new Set([...history.refused, event.attempt]) };
};

/**
 * Checks the events of one retention period, in the order in which they were observed: a key is
 * sent at most once, a recorded response is returned unchanged, and no attempt that was sent is
 * refused with `not_run`.
 *
 * @returns the first violation, or undefined
 */
export const findRunViolation = (events: readonly RunEvent[]): RunViolation | undefined => {
  const runs = new Map<string, RunHistory>();
  for (const event of events) {
    const history: RunHistory = runs.get(event.runId) ?? { refused: new Set<string>() };
    const type = findEventViolation(event, history);
    if (type !== undefined) return { type, runId: event.runId };
    runs.set(event.runId, applyEvent(event, history));
  }
  return undefined;
};
