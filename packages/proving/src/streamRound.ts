import type { Random } from '@lovagearch/common';
import type { CompletionBody } from './callerClient.js';
import { checkHistories } from './historyCheckers.js';
import { assertProof, type ProofContext } from './proofCase.js';
import { MODEL, type ProofStage } from './proofStage.js';
import { createPrompt } from './prompts.js';
import { checkWholeAnswer, receiveWholeAnswer, type WholeAnswer } from './wholeAnswer.js';

/** Answers of one round of streams; enough for crossed answers and for both runners. */
const DEFAULT_STREAMS = 8;
const PROMPT_TOKENS = 128;
/** About 2 s at the engine stand-in's 10 ms a token. */
const ANSWER_TOKENS = 200;

/** A fault that is injected once so many texts have arrived over all streams of a round. */
export interface TimedFault {
  readonly afterTexts: number;
  readonly inject: () => Promise<void>;
}

export interface RoundOptions {
  readonly faults: readonly TimedFault[];
  readonly streams?: number;
  /** Returns the URLs for the n-th caller; by default those of all entry processes that live. */
  readonly listUrls?: (index: number) => readonly string[];
  readonly waitBeforeRead?: (index: number) => Promise<void> | undefined;
}

/** Draws the number of texts after which a fault comes: after the first and well before the last. */
export const chooseFaultTime = (random: Random, streams = DEFAULT_STREAMS): number =>
  Math.floor(streams * ANSWER_TOKENS * (0.1 + 0.4 * random()));

/** Creates the n-th request of a round; its seed is set, so that its answer can be computed. */
export const createStreamBody = ({ seed }: ProofContext, index: number): CompletionBody => ({
  model: MODEL,
  prompt: createPrompt(seed * 1_000 + index, PROMPT_TOKENS),
  max_tokens: ANSWER_TOKENS,
  seed: seed + index,
  stream: true,
});

const sum = (answers: readonly WholeAnswer[], field: 'restarts' | 'resumes'): number =>
  answers.reduce((total, answer) => total + answer[field], 0);

/** What the entry processes did for the streams of a round, from their histories. */
export const countDecisions = async (stage: ProofStage, type: string): Promise<number> => {
  const histories = await stage.readHistories();
  const all = [...histories.values()].join('\n');
  return all.split(`"decision":{"type":"${type}"`).length - 1;
};

/**
 * Sends streams at the same time, injects the faults between their texts, and checks every answer,
 * the runners and the histories.
 *
 * @returns what was seen, in a few words
 */
export const runStreamRound = async (
  stage: ProofStage,
  context: ProofContext,
  options: RoundOptions,
): Promise<string> => {
  const waiting = [...options.faults].sort((a, b) => a.afterTexts - b.afterTexts);
  const injected: Promise<void>[] = [];
  let texts = 0;
  const handleText = (): void => {
    texts += 1;
    while (waiting[0] !== undefined && waiting[0].afterTexts <= texts) {
      const fault = waiting.shift();
      if (fault !== undefined) injected.push(fault.inject());
    }
  };
  const count = options.streams ?? DEFAULT_STREAMS;
  const bodies = Array.from({ length: count }, (_none, index) => createStreamBody(context, index));
  const ended = await Promise.allSettled(
    bodies.map(async (body, index) =>
      receiveWholeAnswer(stage.first, body, {
        listUrls: () => options.listUrls?.(index) ?? stage.listUrls(index),
        onText: handleText,
        waitBeforeRead: () => options.waitBeforeRead?.(index),
      }),
    ),
  );
  // All callers have ended here, also if one failed, so that none is left behind.
  await Promise.all(injected);
  const answers: WholeAnswer[] = [];
  for (const result of ended) {
    if (result.status === 'rejected') throw result.reason;
    answers.push(result.value);
  }
  assertProof(waiting.length === 0, `${waiting.length} faults were not injected`);
  for (const [index, answer] of answers.entries()) {
    const body = bodies[index];
    if (body !== undefined) checkWholeAnswer(body, answer);
  }
  await stage.checkViolations();
  checkHistories(await stage.readHistories());
  const [resumed, continued] = await Promise.all([
    countDecisions(stage, 'resumed'),
    countDecisions(stage, 'continued'),
  ]);
  assertProof(resumed + continued > 0, 'no stream met the fault');
  return (
    `${count} whole answers, ${resumed} streams resumed, ${continued} continued elsewhere, ` +
    `${sum(answers, 'resumes')} caller resumes, ${sum(answers, 'restarts')} begun again`
  );
};
