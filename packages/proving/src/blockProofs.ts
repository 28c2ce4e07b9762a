import { setTimeout as waitMs } from 'node:timers/promises';
import { request } from 'undici';
import {
  CACHE_STAGE,
  checkOffered,
  countOffered,
  sendFillers,
  sendPrompts,
  sendReturning,
  waitExported,
} from './cacheRound.js';
import { checkHistories } from './historyCheckers.js';
import { LinkDirection } from './link.js';
import type { ProofCase, ProofContext } from './proofCase.js';
import { type ProofStage, runOnStage, type StageOptions } from './proofStage.js';

const PROMPTS = 4;
/** The segments of this case take about 0.5 s to read. */
const SLOW_BYTES_PER_SECOND = 500_000;

type RunFault = (stage: ProofStage, context: ProofContext) => Promise<void>;

const checkAll = async (stage: ProofStage): Promise<void> => {
  await stage.checkViolations();
  checkHistories(await stage.readHistories());
};

/** Creates a case in which prompts return while something happens to their stored segments. */
const createReturnCase = (
  name: string,
  faults: readonly string[],
  runFault: RunFault,
  options: { readonly createStage?: () => StageOptions } = {},
): ProofCase => ({
  name,
  promise: 1,
  faults,
  isInTests: false,
  run: async (context) =>
    runOnStage(options.createStage?.() ?? CACHE_STAGE, async (stage) => {
      await waitExported(stage, context, PROMPTS);
      await sendFillers(stage, context);
      const before = await countOffered(stage);
      const [during] = await Promise.all([
        sendReturning(stage, context, PROMPTS, ' And the next?'),
        runFault(stage, context),
      ]);
      const offered = await checkOffered(stage, before);
      const after = await sendReturning(stage, context, PROMPTS, ' And the last?');
      await checkAll(stage);
      const counts = `${during.imported} tokens imported, ${during.cached} cached`;
      return `${offered} segments offered under faults; ${counts}; ${after.imported} imported later`;
    }),
});

const damageReads =
  (mode: 'altered_read' | 'short_read'): RunFault =>
  async (stage) =>
    stage.cluster.setFaults('store-1', { mode });

/** Damages reads before the prompts return, so that each import meets a damaged segment. */
const createDamageCase = (mode: 'altered_read' | 'short_read', isInTests: boolean): ProofCase => ({
  name: `blocks-${mode.replace('_', '-')}`,
  promise: 1,
  faults: [mode === 'short_read' ? 'short segments' : 'altered segments'],
  isInTests,
  run: async (context) =>
    runOnStage(CACHE_STAGE, async (stage) => {
      await waitExported(stage, context, PROMPTS);
      await sendFillers(stage, context);
      const before = await countOffered(stage);
      await damageReads(mode)(stage, context);
      const during = await sendReturning(stage, context, PROMPTS, ' And the next?');
      const offered = await checkOffered(stage, before);
      await checkAll(stage);
      return `${offered} damaged segments offered, ${during.imported} tokens imported`;
    }),
});

const deleteSegments: RunFault = async (stage) => {
  const url = stage.cluster.getVm('store-1').process.url();
  for (const { segmentId } of await stage.listSegments('store-1')) {
    const deleted = await request(`${url}/v1/segments/${segmentId}`, { method: 'DELETE' });
    await deleted.body.dump();
  }
};

const restartStore: RunFault = async (stage, { random }) => {
  await waitMs(Math.floor(random() * 300));
  await stage.killVm('store-1');
  await stage.restartStore('store-1', 0);
};

const SLOW_STAGE: StageOptions = {
  ...CACHE_STAGE,
  store: { bytesPerSecond: SLOW_BYTES_PER_SECOND },
};

/** Narrows what store VMs send to about 0.5 s a segment. */
const createNarrowStage = (): StageOptions => ({
  ...CACHE_STAGE,
  cluster: {
    hasProxies: true,
    getLinks: (id) =>
      id.startsWith('store')
        ? {
            towardsCaller: LinkDirection.create({
              delayMs: 2,
              bytesPerSecond: SLOW_BYTES_PER_SECOND,
            }),
          }
        : {},
  },
});

/** Kills the store VM while its segments are on the narrow link; connections break halfway. */
const killStore: RunFault = async (stage, { random }) => {
  await waitMs(100 + Math.floor(random() * 300));
  await stage.killVm('store-1');
};

const fullStoreCase: ProofCase = {
  name: 'blocks-store-full',
  promise: 1,
  faults: ['store VM full while runners export'],
  isInTests: false,
  run: async (context) =>
    runOnStage(CACHE_STAGE, async (stage) => {
      await stage.cluster.setFaults('store-1', { mode: 'full' });
      await sendPrompts(stage, context, PROMPTS);
      await sendFillers(stage, context);
      const full = await sendReturning(stage, context, PROMPTS, ' And the next?');
      const stored = (await stage.listSegments('store-1')).length;
      await stage.cluster.setFaults('store-1', {});
      const after = await sendReturning(stage, context, PROMPTS, ' And the last?');
      await checkAll(stage);
      return `${stored} segments and ${full.imported} imported while full, ${after.cached} cached later`;
    }),
};

/** Kills a runner while it exports; the last prompts must be served by the other one. */
const createExportKillCase = (isStoreFull: boolean): ProofCase => ({
  name: isStoreFull ? 'blocks-runner-killed-store-full' : 'blocks-runner-killed-in-export',
  promise: 1,
  faults: ['runner killed while it exports', ...(isStoreFull ? ['store VM full'] : [])],
  isInTests: false,
  run: async (context) =>
    runOnStage(SLOW_STAGE, async (stage) => {
      if (isStoreFull) await stage.cluster.setFaults('store-1', { mode: 'full' });
      await sendPrompts(stage, context, PROMPTS);
      await waitMs(Math.floor(context.random() * 600));
      await stage.killVm('runner-1');
      if (isStoreFull) await stage.cluster.setFaults('store-1', {});
      const after = await sendReturning(stage, context, PROMPTS, ' And the next?');
      await checkAll(stage);
      const segments = (await stage.listSegments('store-1')).length;
      return `${segments} whole segments stored, ${after.imported} tokens imported after the kill`;
    }),
});

/** Promise 1: no request reads a cache block that is freed or only partly written. */
export const BLOCK_PROOFS: readonly ProofCase[] = [
  createDamageCase('altered_read', true),
  createDamageCase('short_read', false),
  createReturnCase(
    'blocks-segment-deleted-in-read',
    ['segment deleted while it is read'],
    deleteSegments,
    {
      createStage: () => SLOW_STAGE,
    },
  ),
  createReturnCase(
    'blocks-store-killed-in-import',
    ['store VM killed and restarted'],
    restartStore,
    {
      createStage: () => SLOW_STAGE,
    },
  ),
  fullStoreCase,
  createExportKillCase(false),
  createExportKillCase(true),
  createReturnCase(
    'blocks-narrow-link-store-killed',
    ['narrow store link', 'store VM killed'],
    killStore,
    {
      createStage: createNarrowStage,
    },
  ),
];
