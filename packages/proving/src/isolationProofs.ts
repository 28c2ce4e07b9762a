import { z } from 'zod';
import type { CallerClient, CompletionBody } from './callerClient.js';
import {
  CACHE_STAGE,
  createCacheBody,
  sendFillers,
  sendReturning,
  waitExported,
} from './cacheRound.js';
import { checkHistories } from './historyCheckers.js';
import { assertProof, type ProofCase, type ProofContext } from './proofCase.js';
import { FIRST_ACCOUNT, type ProofStage, runOnStage, SECOND_ACCOUNT } from './proofStage.js';
import { createStreamBody } from './streamRound.js';
import {
  checkWholeAnswer,
  getReusedTokens,
  receiveWholeAnswer,
  sendChecked,
} from './wholeAnswer.js';

const PROMPTS = 3;
const STREAMS_PER_ACCOUNT = 4;
/** Added to the seeds of the second account, so that a crossed answer is a wrong one. */
const SECOND_SEED = 50_000;

const loggedRunsSchema = z.array(
  z.object({
    idempotencyKey: z.string().nullable(),
    account: z.string().nullable(),
    count: z.number(),
  }),
);

const checkAll = async (stage: ProofStage): Promise<void> => {
  await stage.checkViolations();
  checkHistories(await stage.readHistories());
};

/** Sends the prompts of the first account as the second one and returns the reused tokens. */
const sendAsSecond = async (stage: ProofStage, context: ProofContext): Promise<number> => {
  let reused = 0;
  for (let index = 0; index < PROMPTS; index++) {
    const body = createCacheBody(context, index);
    const answer = await sendChecked(stage.second, stage.getUrl(index + 1), body);
    const { cached, imported } = getReusedTokens(answer);
    reused += cached + imported;
  }
  return reused;
};

/** Runs two accounts with the same prompts while runners evict and import. */
const runSamePrompts = async (context: ProofContext, isEntryKilled: boolean): Promise<string> =>
  runOnStage({ ...CACHE_STAGE, entries: 3 }, async (stage) => {
    await waitExported(stage, context, PROMPTS);
    await sendFillers(stage, context);
    if (isEntryKilled) await stage.killVm('entry-3');
    const own = await sendReturning(stage, context, PROMPTS, ' And the next?');
    assertProof(own.cached + own.imported > 0, 'the first account reused nothing of its own');
    const foreign = await sendAsSecond(stage, context);
    assertProof(foreign === 0, `${foreign} tokens of another account were reused`);
    const again = await sendAsSecond(stage, context);
    assertProof(again > 0, 'the second account reused nothing of its own');
    await checkAll(stage);
    return `${own.imported} imported, ${own.cached} cached of their own; 0 of the other account`;
  });

/** Takes the resume token of an answer in progress and leaves. */
const takeResumeToken = async (
  caller: CallerClient,
  url: string,
  body: CompletionBody,
): Promise<{ readonly text: string; readonly lastEventId: string }> => {
  const leaving = new AbortController();
  let texts = 0;
  const onText = (): void => {
    texts += 1;
    if (texts === 20) leaving.abort();
  };
  return caller.sendCompletion(url, body, { onText, signal: leaving.signal });
};

const checkTokens = async (stage: ProofStage, context: ProofContext): Promise<void> => {
  const body = createStreamBody(context, 900);
  const begun = await takeResumeToken(stage.first, stage.getUrl(0), body);
  const { lastEventId } = begun;
  assertProof(lastEventId !== '', 'no resume token arrived');
  const foreign = await stage.second.sendCompletion(stage.getUrl(1), body, { lastEventId });
  const type = foreign.failure?.type;
  assertProof(
    type === 'resume_invalid',
    `the token of another account gave ${type ?? 'an answer'}`,
  );
  assertProof(foreign.text === '', 'text of another account was sent');
  const rest = await stage.first.sendCompletion(stage.getUrl(1), body, { lastEventId });
  checkWholeAnswer(body, { ...rest, text: begun.text + rest.text });
};

const checkPermissions = async (stage: ProofStage, context: ProofContext): Promise<void> => {
  const body = createStreamBody(context, 901);
  const refused = await stage.third.sendCompletion(stage.getUrl(0), body);
  const type = refused.failure?.type;
  assertProof(type === 'forbidden', `an account without permission got ${type ?? 'an answer'}`);
};

const countRuns = async (stage: ProofStage, account: string, key: string): Promise<number> => {
  let count = 0;
  for (const id of ['ledger-1', 'ledger-2']) {
    const runs = loggedRunsSchema.parse(await stage.cluster.readControl(id, 'runs'));
    for (const run of runs) {
      if (run.account === account && run.idempotencyKey?.includes(key) === true) count += run.count;
    }
  }
  return count;
};

/** Uses one idempotency key in two accounts; each must run once and get its own answer. */
const checkKeys = async (stage: ProofStage, key: string): Promise<void> => {
  const send = async (caller: CallerClient, index: number, amount: number) =>
    caller.sendService(stage.getUrl(index), 'ledger/claims', {
      idempotencyKey: key,
      body: { amount },
    });
  const [first, second] = await Promise.all([send(stage.first, 0, 1), send(stage.second, 1, 2)]);
  assertProof(first.status === 200, `the first claim got ${first.failure?.type ?? first.status}`);
  assertProof(
    second.status === 200,
    `the second claim got ${second.failure?.type ?? second.status}`,
  );
  const again = await send(stage.second, 0, 2);
  const isSame = JSON.stringify(again.body) === JSON.stringify(second.body);
  assertProof(isSame, 'a repeated claim did not get the answer of its own account');
  for (const account of [FIRST_ACCOUNT, SECOND_ACCOUNT]) {
    const count = await countRuns(stage, account, key);
    assertProof(count === 1, `the claim of ${account} ran ${count} times`);
  }
};

const runRefusals = async (context: ProofContext, isEntryKilled: boolean): Promise<string> =>
  runOnStage({ runners: 2, entries: 3, hasLedger: true }, async (stage) => {
    await checkKeys(stage, 'claim-1');
    if (isEntryKilled) await stage.killVm('entry-3');
    await checkTokens(stage, context);
    await checkPermissions(stage, context);
    if (!isEntryKilled) await checkKeys(stage, 'claim-2');
    await checkAll(stage);
    return 'token of another account and account without permission refused, keys apart';
  });

/** Crosses the answers of two accounts with the same prompts and kills an entry process. */
const runCrossed = async (context: ProofContext): Promise<string> =>
  runOnStage({ runners: 2, entries: 2 }, async (stage) => {
    let texts = 0;
    const injected: Promise<void>[] = [];
    const setCrossed = async (crossAnswers: boolean): Promise<void> => {
      for (const id of stage.runners) await stage.cluster.setFaults(id, { crossAnswers });
    };
    const onText = (): void => {
      texts += 1;
      if (texts === 150) injected.push(setCrossed(true));
      if (texts === 170) injected.push(stage.killVm('entry-1'));
      if (texts === 220) injected.push(setCrossed(false));
    };
    const callers = [stage.first, stage.second];
    const ended = await Promise.allSettled(
      callers.flatMap((caller, account) =>
        Array.from({ length: STREAMS_PER_ACCOUNT }, async (_none, index) => {
          const body = createStreamBody(context, index);
          const own = { ...body, seed: (body.seed ?? 0) + account * SECOND_SEED };
          const listUrls = () => stage.listUrls(index);
          const answer = await receiveWholeAnswer(caller, own, { listUrls, onText });
          checkWholeAnswer(own, answer);
          return answer.resumes;
        }),
      ),
    );
    await Promise.all(injected);
    let resumes = 0;
    for (const result of ended) {
      if (result.status === 'rejected') throw result.reason;
      resumes += result.value;
    }
    assertProof(injected.length === 3, 'the faults were not injected');
    await checkTokens(stage, context);
    await checkAll(stage);
    return `${ended.length} answers of two accounts, each its own; ${resumes} caller resumes`;
  });

/** Promise 2: no account sees another's prompts, cache or answers. */
export const ISOLATION_PROOFS: readonly ProofCase[] = [
  {
    name: 'isolation-same-prompts',
    promise: 2,
    faults: ['runners evict and import'],
    isInTests: false,
    run: async (context) => runSamePrompts(context, false),
  },
  {
    name: 'isolation-same-prompts-entry-killed',
    promise: 2,
    faults: ['runners evict and import', 'entry process killed'],
    isInTests: false,
    run: async (context) => runSamePrompts(context, true),
  },
  {
    name: 'isolation-keys-tokens-permissions',
    promise: 2,
    faults: ['same idempotency keys'],
    isInTests: true,
    run: async (context) => runRefusals(context, false),
  },
  {
    name: 'isolation-tokens-entry-killed',
    promise: 2,
    faults: ['same idempotency keys', 'entry process killed'],
    isInTests: false,
    run: async (context) => runRefusals(context, true),
  },
  {
    name: 'isolation-crossed-entry-killed',
    promise: 2,
    faults: ['crossed chunks', 'entry process killed'],
    isInTests: false,
    run: runCrossed,
  },
];
