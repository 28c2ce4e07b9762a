import { setTimeout as waitMs } from 'node:timers/promises';
import { FaultProxy } from './faultProxy.js';
import type { ProofCase, ProofContext } from './proofCase.js';
import { type ProofStage, runOnStage, type StageOptions } from './proofStage.js';
import { chooseFaultTime, runStreamRound, type RoundOptions } from './streamRound.js';

const STAGE: StageOptions = { runners: 3, entries: 2, cluster: { hasProxies: true } };
/** Time for which crossed or frozen parts stay so, in milliseconds; shorter than the resume budget. */
const CROSSED_MS = 300;
const FROZEN_MS = 6_500;

type CreateRound = (stage: ProofStage, context: ProofContext) => RoundOptions;

/** Creates a case that runs one round of streams under faults. */
const createCase = (
  name: string,
  faults: readonly string[],
  createRound: CreateRound,
  isInTests = false,
): ProofCase => ({
  name,
  promise: 4,
  faults,
  isInTests,
  run: async (context) =>
    runOnStage(STAGE, async (stage) => runStreamRound(stage, context, createRound(stage, context))),
});

const setRunnerFaults = async (stage: ProofStage, faults: object): Promise<void> => {
  await Promise.all(stage.runners.map(async (id) => stage.cluster.setFaults(id, faults)));
};

/** Crosses the answers of all runners for a while, as long as resumes can outlast. */
const injectCrossed = async (stage: ProofStage, faults: object = {}): Promise<void> => {
  await setRunnerFaults(stage, { ...faults, crossAnswers: true });
  await waitMs(CROSSED_MS);
  await setRunnerFaults(stage, faults);
};

const chooseSeq = ({ random }: ProofContext): number => 5 + Math.floor(random() * 100);

const chooseRunner = (stage: ProofStage, { random }: ProofContext): string => {
  const { runners } = stage;
  return runners[Math.floor(random() * runners.length)] ?? '';
};

const silenceRunners = (stage: ProofStage): void => {
  for (const id of stage.runners) stage.cluster.proxies.get(id)?.setMode('silent_existing');
};

const freezeEntry = async (stage: ProofStage, id: string): Promise<void> => {
  const { process: started } = stage.cluster.getVm(id);
  started.kill('SIGSTOP');
  await waitMs(FROZEN_MS);
  started.kill('SIGCONT');
};

const runSilentCaller = async (context: ProofContext, hasRunnerFault: boolean): Promise<string> =>
  runOnStage(STAGE, async (stage) => {
    const targetPort = stage.entries[0]?.process.ports.caller ?? 0;
    const proxy = await FaultProxy.start({ targetHost: '127.0.0.1', targetPort });
    try {
      const url = `http://127.0.0.1:${proxy.port}`;
      const afterTexts = chooseFaultTime(context.random);
      const silence = {
        afterTexts,
        inject: async () => {
          proxy.setMode('silent_existing');
          if (hasRunnerFault) silenceRunners(stage);
        },
      };
      return await runStreamRound(stage, context, { faults: [silence], listUrls: () => [url] });
    } finally {
      await proxy.stop();
    }
  });

const runStalledCaller = async (context: ProofContext): Promise<string> =>
  runOnStage(STAGE, async (stage) => {
    const proxy = await FaultProxy.start({
      targetHost: '127.0.0.1',
      targetPort: stage.entries[0]?.process.ports.caller ?? 0,
    });
    const stalled = new Set<number>();
    try {
      const url = `http://127.0.0.1:${proxy.port}`;
      const afterTexts = chooseFaultTime(context.random);
      let isStalling = false;
      const stall = {
        afterTexts,
        inject: async () => {
          isStalling = true;
          await waitMs(CROSSED_MS * 4);
          proxy.resetConnections();
        },
      };
      const waitBeforeRead = (index: number): Promise<void> | undefined => {
        if (!isStalling || stalled.has(index)) return undefined;
        stalled.add(index);
        return waitMs(CROSSED_MS * 5);
      };
      const listUrls = (index: number) =>
        stalled.has(index) ? stage.listUrls(index) : [url, ...stage.listUrls(index)];
      return await runStreamRound(stage, context, { faults: [stall], listUrls, waitBeforeRead });
    } finally {
      await proxy.stop();
    }
  });

const createSpecialCase = (
  name: string,
  faults: readonly string[],
  run: ProofCase['run'],
): ProofCase => ({ name, promise: 4, faults, isInTests: false, run });

/** Promise 4: every caller receives the whole answer to its own request. */
export const STREAM_PROOFS: readonly ProofCase[] = [
  createCase(
    'streams-crossed-and-repeated',
    ['crossed chunks', 'repeated chunks'],
    (stage, { random }) => ({
      faults: [
        {
          afterTexts: chooseFaultTime(random),
          inject: async () => injectCrossed(stage, { repeatChunks: true }),
        },
        { afterTexts: 1_500, inject: async () => setRunnerFaults(stage, {}) },
      ],
    }),
  ),
  createCase('streams-crossed', ['crossed chunks'], (stage, { random }) => ({
    faults: [{ afterTexts: chooseFaultTime(random), inject: async () => injectCrossed(stage) }],
  })),
  createCase(
    'streams-connection-dropped',
    ['connection to the runner dropped'],
    (stage, context) => ({
      faults: [
        {
          afterTexts: 1,
          inject: async () =>
            setRunnerFaults(stage, { dropConnectionAfterSeq: chooseSeq(context) }),
        },
      ],
    }),
  ),
  createCase(
    'streams-runner-connection-silent',
    ['connection to the runner silent for good'],
    (stage, { random }) => ({
      faults: [{ afterTexts: chooseFaultTime(random), inject: async () => silenceRunners(stage) }],
    }),
  ),
  createSpecialCase(
    'streams-caller-connection-silent',
    ['connection of the caller silent for good'],
    async (context) => runSilentCaller(context, false),
  ),
  createSpecialCase(
    'streams-both-connections-silent',
    ['connection of the caller silent for good', 'connection to the runner silent for good'],
    async (context) => runSilentCaller(context, true),
  ),
  createSpecialCase(
    'streams-caller-stops-reading',
    ['caller stops reading and comes back'],
    runStalledCaller,
  ),
  createCase('streams-runner-killed', ['runner killed'], (stage, context) => ({
    faults: [
      {
        afterTexts: chooseFaultTime(context.random),
        inject: async () => stage.killVm(chooseRunner(stage, context)),
      },
    ],
  })),
  createCase(
    'streams-entry-killed',
    ['entry process killed'],
    (stage, { random }) => ({
      faults: [
        { afterTexts: chooseFaultTime(random), inject: async () => stage.killVm('entry-1') },
      ],
    }),
    true,
  ),
  createCase(
    'streams-runner-and-entry-killed',
    ['runner killed', 'entry process killed'],
    (stage, context) => {
      const afterTexts = chooseFaultTime(context.random);
      const runner = chooseRunner(stage, context);
      return {
        faults: [
          { afterTexts, inject: async () => stage.killVm(runner) },
          {
            afterTexts: afterTexts + Math.floor(context.random() * 200),
            inject: async () => stage.killVm('entry-1'),
          },
        ],
      };
    },
  ),
  createCase(
    'streams-entry-frozen',
    ['entry process frozen and continued'],
    (stage, { random }) => ({
      faults: [
        { afterTexts: chooseFaultTime(random), inject: async () => freezeEntry(stage, 'entry-1') },
      ],
    }),
  ),
  createCase(
    'streams-entry-frozen-runner-killed',
    ['entry process frozen and continued', 'runner killed'],
    (stage, context) => {
      const afterTexts = chooseFaultTime(context.random);
      const runner = chooseRunner(stage, context);
      return {
        faults: [
          { afterTexts, inject: async () => freezeEntry(stage, 'entry-1') },
          { afterTexts: afterTexts + 100, inject: async () => stage.killVm(runner) },
        ],
      };
    },
  ),
];
