import { BoundedMap, type Fingerprint } from '@lovagearch/common';

/** Time after a complete answer in which its endpoint may still crash because of the request, in milliseconds. */
export const ANSWER_CRASH_MS = 1_500;
const MAX_ENDPOINTS = 4_096;
const MAX_ANSWERS_PER_ENDPOINT = 64;

interface RecentAnswer {
  readonly fingerprint: Fingerprint;
  readonly atMs: number;
}

/** Requests that endpoints answered completely a moment ago: an endpoint may crash after its whole answer as well. */
export class RecentAnswers {
  private readonly answersByEndpoint = BoundedMap.create<string, RecentAnswer[]>(MAX_ENDPOINTS);

  static create(): RecentAnswers {
    return new RecentAnswers();
  }

  recordAnswer(endpointStart: string, fingerprint: Fingerprint, atMs: number): void {
    const answers = this.answersByEndpoint.peek(endpointStart) ?? [];
    answers.push({ fingerprint, atMs });
    if (answers.length > MAX_ANSWERS_PER_ENDPOINT) answers.shift();
    if (answers.length === 1) this.answersByEndpoint.set(endpointStart, answers);
  }

  hasAnswers(endpointStart: string): boolean {
    return this.answersByEndpoint.has(endpointStart);
  }

  /** Returns the requests that an endpoint answered in the time before `nowMs`, and forgets them. */
  takeAnswers(endpointStart: string, nowMs: number): Fingerprint[] {
    const answers = this.answersByEndpoint.peek(endpointStart) ?? [];
    this.answersByEndpoint.delete(endpointStart);
    return answers
      .filter(({ atMs }) => nowMs - atMs < ANSWER_CRASH_MS)
      .map(({ fingerprint }) => fingerprint);
  }

  /** Returns the requests whose endpoints have lived on since, and forgets them. */
  takeOutlived(nowMs: number): RecentAnswer[] {
    const outlived: RecentAnswer[] = [];
    for (const [endpointStart, answers] of [...this.answersByEndpoint]) {
      while (answers[0] !== undefined && nowMs - answers[0].atMs >= ANSWER_CRASH_MS)
        outlived.push(answers.shift()!);
      if (answers.length === 0) this.answersByEndpoint.delete(endpointStart);
    }
    return outlived;
  }
}
