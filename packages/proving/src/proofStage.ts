import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import { z } from 'zod';
import { CallerClient } from './callerClient.js';
import { Cluster, type ClusterOptions, type ClusterVm } from './cluster.js';
import {
  createAccountFile,
  createModelFile,
  createModelServiceFile,
  createPlainServiceFile,
  getAccountKey,
} from './deployments.js';
import { assertProof, ProofError } from './proofCase.js';

export const MODEL = 'crop-8b';
export const SERVICE = 'estimator';
export const FIRST_ACCOUNT = 'jianan-01';
export const SECOND_ACCOUNT = 'jianan-02';
/** An account that may use the ledger but not the model. */
export const LEDGER_ACCOUNT = 'jianan-03';

const PLACES = [
  { region: 'south', zone: 'chiayi' },
  { region: 'south', zone: 'tainan' },
] as const;

const runSchema = z.object({
  requestId: z.string(),
  streamId: z.string(),
  account: z.string(),
  weightVersion: z.string(),
  promptSha256: z.string(),
  promptTokens: z.number(),
  cachedTokens: z.number(),
  importedTokens: z.number(),
});
/** What an engine stand-in logged of a prompt that it began to run. */
export type EngineRun = z.infer<typeof runSchema>;

const violationsSchema = z.array(z.object({ type: z.string(), detail: z.string() }));

const segmentsSchema = z.object({
  segments: z.array(z.object({ segmentId: z.string(), depth: z.number() })),
});
export type StoredSegment = z.infer<typeof segmentsSchema>['segments'][number];

export interface StageOptions {
  readonly runners: number;
  readonly entries: number;
  readonly stores?: number;
  readonly engine?: object;
  readonly store?: object;
  readonly cluster?: ClusterOptions;
  readonly hasLedger?: boolean;
}

/** Returns the place of the n-th process of a kind, over both availability zones in turn. */
export const getPlace = (index: number): (typeof PLACES)[number] =>
  index % PLACES.length === 0 ? PLACES[0] : PLACES[1];

/** The configuration files of all cases on cache blocks and streams. */
export const listStageFiles = (weightVersion = 'v1') => [
  createModelServiceFile(SERVICE),
  createPlainServiceFile('ledger', ['/claims']),
  createModelFile(MODEL, SERVICE, weightVersion),
  createAccountFile(FIRST_ACCOUNT, [SERVICE, 'ledger']),
  createAccountFile(SECOND_ACCOUNT, [SERVICE, 'ledger']),
  createAccountFile(LEDGER_ACCOUNT, ['ledger']),
];

/**
 * The processes of one case with its callers. `runOnStage` starts and stops it.
 *
 * @example
 * await runOnStage({ runners: 2, entries: 2 }, async (stage) => 'seen');
 */
export class ProofStage {
  readonly first = CallerClient.create(getAccountKey(FIRST_ACCOUNT));

  readonly second = CallerClient.create(getAccountKey(SECOND_ACCOUNT));

  readonly third = CallerClient.create(getAccountKey(LEDGER_ACCOUNT));

  private readonly killed = new Set<string>();

  private constructor(
    readonly cluster: Cluster,
    readonly options: StageOptions,
  ) {}

  static create(cluster: Cluster, options: StageOptions): ProofStage {
    return new ProofStage(cluster, options);
  }

  /** Ids of the runners that were not killed. */
  get runners(): readonly string[] {
    return this.listIds('runner');
  }

  get entries(): readonly ClusterVm[] {
    return this.cluster.listEntries().filter(({ id }) => !this.killed.has(id));
  }

  /** URLs of the entry processes that were not killed, beginning with the n-th. */
  listUrls(offset = 0): string[] {
    const urls = this.entries.map((entry) => this.cluster.getCallerUrl(entry));
    return urls.map((_url, index) => urls[(index + offset) % urls.length] ?? '');
  }

  getUrl(index: number): string {
    const url = this.listUrls(index)[0];
    if (url === undefined) throw new ProofError('no entry process is left');
    return url;
  }

  async startRunner(index: number, options: object = {}): Promise<void> {
    const engine = {
      models: [{ model: MODEL, weightVersion: 'v1', adapters: [] }],
      ...this.options.engine,
      ...options,
    };
    await this.cluster.startEngine(`runner-${index + 1}`, getPlace(index), SERVICE, engine);
  }

  /** Ends a process at once; its VM stays in the VM list. */
  async killVm(id: string): Promise<void> {
    const { process: started } = this.cluster.getVm(id);
    this.killed.add(id);
    started.kill('SIGKILL');
    await started.waitForExit();
  }

  /** Starts a killed store VM again, empty and on its old port. */
  async restartStore(id: string, index: number): Promise<void> {
    const { ports } = this.cluster.getVm(id).process;
    await this.cluster.startStore(id, getPlace(index), { ...this.options.store, port: ports.main });
    this.killed.delete(id);
  }

  /** Returns what the runners logged of the prompts that they began to run. */
  async listRuns(): Promise<EngineRun[]> {
    const runs: EngineRun[] = [];
    for (const id of this.runners) {
      runs.push(...z.array(runSchema).parse(await this.cluster.readControl(id, 'runs')));
    }
    return runs;
  }

  async listSegments(id: string): Promise<StoredSegment[]> {
    const url = this.cluster.getVm(id).process.url();
    const response = await request(`${url}/v1/segments?limit=1000`);
    return segmentsSchema.parse(await response.body.json()).segments;
  }

  /** Fails the case if a runner used a wrong block or was given wrong text. */
  async checkViolations(): Promise<void> {
    for (const id of this.runners) {
      const violations = violationsSchema.parse(await this.cluster.readControl(id, 'violations'));
      const [first] = violations;
      if (first === undefined) continue;
      const found = `${violations.length} violations at ${id}`;
      throw new ProofError(`${found}, first ${first.type}: ${first.detail}`);
    }
  }

  /** Reads the history files of all entry processes, also of killed ones. */
  async readHistories(): Promise<ReadonlyMap<string, string>> {
    const histories = new Map<string, string>();
    for (const { id } of this.cluster.listEntries()) {
      histories.set(id, await readFile(join(this.cluster.folder, `${id}.history`), 'utf8'));
    }
    return histories;
  }

  async stop(): Promise<void> {
    await Promise.all([this.first.close(), this.second.close(), this.third.close()]);
    await this.cluster.stop();
  }

  private listIds(role: ClusterVm['role']): string[] {
    return [...this.cluster.vms.values()]
      .filter((vm) => vm.role === role && !this.killed.has(vm.id))
      .map(({ id }) => id);
  }
}

const startParts = async (stage: ProofStage): Promise<void> => {
  const { cluster, options } = stage;
  const runners = Array.from({ length: options.runners }, async (_none, index) =>
    stage.startRunner(index),
  );
  const stores = Array.from({ length: options.stores ?? 0 }, async (_none, index) =>
    cluster.startStore(`store-${index + 1}`, getPlace(index), options.store),
  );
  const ledger = options.hasLedger === true ? [0, 1] : [];
  const services = ledger.map(async (index) =>
    cluster.startService(`ledger-${index + 1}`, getPlace(index), 'ledger'),
  );
  await Promise.all([...runners, ...stores, ...services]);
  for (let index = 0; index < options.entries; index++) {
    await cluster.startEntry(`entry-${index + 1}`, getPlace(index));
  }
  const published = await cluster.publish(listStageFiles());
  assertProof(published.exitCode === 0, `publish failed: ${published.stderr}`);
  await cluster.waitReady();
};

/** Starts the processes of a case, runs it, and ends all of them in any event. */
export const runOnStage = async (
  options: StageOptions,
  run: (stage: ProofStage) => Promise<string>,
): Promise<string> => {
  const stage = ProofStage.create(await Cluster.start(options.cluster), options);
  try {
    await startParts(stage);
    return await run(stage);
  } finally {
    await stage.stop();
  }
};
