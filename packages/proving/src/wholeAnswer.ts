import { computeExpectedText } from '@lovagearch/standins';
import { getErrorMessage } from '@lovagearch/common';
import { setTimeout as waitMs } from 'node:timers/promises';
import type { CallerClient, CallerResult, CompletionBody, SendOptions } from './callerClient.js';
import { assertProof, ProofError } from './proofCase.js';
import type { CallerUsage } from './streamReader.js';

/** Connections that a caller opens for one answer before it gives up. */
const MAX_CONNECTIONS = 30;
/** Pause of a caller before it connects again, in milliseconds. */
const RECONNECT_PAUSE_MS = 200;
/** Five heartbeat comments of an entry process; a caller takes a longer silence as a lost connection. */
const CALLER_SILENCE_MS = 5_000;

/** An answer that a caller put together from one or more connections. */
export interface WholeAnswer {
  readonly text: string;
  readonly usage: CallerUsage | undefined;
  readonly doneCount: number;
  /** Connections that continued the answer with `Last-Event-ID`. */
  readonly resumes: number;
  /** Times the caller had to begin again, since runner and entry process were both lost. */
  readonly restarts: number;
}

export interface AnswerOptions extends SendOptions {
  /** Returns the URLs that the load balancer offers at this moment. */
  readonly listUrls: () => readonly string[];
}

const trySend = async (
  caller: CallerClient,
  url: string,
  body: CompletionBody,
  options: SendOptions,
): Promise<CallerResult | undefined> => {
  try {
    return await caller.sendCompletion(url, body, {
      silenceLimitMs: CALLER_SILENCE_MS,
      ...options,
    });
  } catch {
    // The entry process did not answer; the load balancer would offer another.
    return undefined;
  }
};

/** Streams an answer as a caller does: it resumes at the next entry process until `[DONE]`. */
export const receiveWholeAnswer = async (
  caller: CallerClient,
  body: CompletionBody,
  { listUrls, ...options }: AnswerOptions,
): Promise<WholeAnswer> => {
  let text = '';
  let lastEventId = '';
  let doneCount = 0;
  let resumes = 0;
  let restarts = 0;
  let lastFailure = 'no connection';
  for (let connection = 0; connection < MAX_CONNECTIONS; connection++) {
    const urls = listUrls();
    const url = urls[connection % urls.length] ?? '';
    const resumed = lastEventId === '' ? {} : { lastEventId };
    const result = await trySend(
      caller,
      url,
      { ...body, stream: true },
      { ...options, ...resumed },
    );
    if (result !== undefined) {
      text += result.text;
      doneCount += result.doneCount;
      lastEventId = result.lastEventId === '' ? lastEventId : result.lastEventId;
      if (lastEventId !== '' && resumed.lastEventId !== undefined) resumes += 1;
      const { usage } = result;
      if (result.isComplete) return { text, usage, doneCount, resumes, restarts };
      lastFailure = result.failure?.type ?? 'incomplete';
      if (result.failure?.type === 'stream_lost' || result.failure?.type === 'endpoint_failed') {
        restarts += 1;
        text = '';
        lastEventId = '';
      }
      assertProof(result.failure?.type !== 'resume_invalid', 'the own resume token was refused');
    }
    await waitMs(RECONNECT_PAUSE_MS);
  }
  throw new ProofError(`no whole answer over ${MAX_CONNECTIONS} connections: ${lastFailure}`);
};

/** Returns the only right text of a request. */
export const getExpectedText = (body: CompletionBody, weightVersion = 'v1'): string =>
  computeExpectedText({
    model: body.model,
    weightVersion,
    prompt: body.prompt,
    seed: body.seed ?? 0,
    maxTokens: body.max_tokens,
  });

/** Fails the case unless the answer is whole, in order, its own, and ended once. */
export const checkWholeAnswer = (
  body: CompletionBody,
  answer: Pick<WholeAnswer, 'doneCount' | 'text' | 'usage'>,
  weightVersion = 'v1',
): void => {
  const expected = getExpectedText(body, weightVersion);
  const sizes = `${answer.text.length} of ${expected.length} bytes`;
  assertProof(answer.text === expected, `an answer is not the expected text (${sizes})`);
  assertProof(answer.doneCount === 1, `[DONE] arrived ${answer.doneCount} times`);
  const { usage } = answer;
  if (usage === undefined) throw new ProofError('an answer has no usage');
  const { prompt_tokens: prompt, completion_tokens: completion } = usage;
  const isPlausible =
    completion === expected.length / 4 && prompt >= Math.ceil(Buffer.byteLength(body.prompt) / 4);
  assertProof(isPlausible, `usage says ${prompt} and ${completion} tokens`);
  const details = usage.prompt_tokens_details;
  const reused = (details?.cached_tokens ?? 0) + (details?.imported_tokens ?? 0);
  assertProof(reused <= prompt, `${reused} of ${prompt} prompt tokens were reused`);
};

/** Sends a prompt that must be answered whole and right, and returns the answer. */
export const sendChecked = async (
  caller: CallerClient,
  url: string,
  body: CompletionBody,
  weightVersion = 'v1',
): Promise<CallerResult> => {
  let result: CallerResult;
  try {
    result = await caller.sendCompletion(url, { ...body, stream: true });
  } catch (error) {
    throw new ProofError(`a request was not served: ${getErrorMessage(error)}`);
  }
  const { failure } = result;
  const ending = failure === undefined ? 'incomplete' : `${failure.type}, ${failure.message}`;
  assertProof(result.isComplete, `a request was not served: ${ending}`);
  checkWholeAnswer(body, result, weightVersion);
  return result;
};

/** Tokens that an answer says were reused from the runner's cache or a store VM. */
export const getReusedTokens = ({ usage }: Pick<CallerResult, 'usage'>) => ({
  cached: usage?.prompt_tokens_details?.cached_tokens ?? 0,
  imported: usage?.prompt_tokens_details?.imported_tokens ?? 0,
});
