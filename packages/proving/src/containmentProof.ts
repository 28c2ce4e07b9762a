import type { Random } from '@lovagearch/common';
import { request } from 'undici';
import { z } from 'zod';
import { CallerClient, type CallerResult } from './callerClient.js';
import { Cluster, type ClusterVm } from './cluster.js';
import {
  createAccountFile,
  createModelFile,
  createModelServiceFile,
  getAccountKey,
} from './deployments.js';
import { assertProof } from './proofCase.js';
import { waitUntil } from './waiting.js';

const MODEL = 'crop-8b';
const SERVICE = 'estimator';
const ACCOUNT = 'jianan-01';
const PLACES = [
  { region: 'south', zone: 'chiayi' },
  { region: 'south', zone: 'tainan' },
] as const;
const RUNNERS = ['runner-1', 'runner-2', 'runner-3', 'runner-4'] as const;
const ENTRIES = ['entry-1', 'entry-2', 'entry-3'] as const;
/** Time for the news of a crash to reach all nodes. */
const NEWS_TIMEOUT_MS = 5_000;
const READY_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 15_000;

const quarantineSchema = z.object({
  entries: z.array(z.object({ type: z.string(), endpoint: z.string() })),
});
const endpointsSchema = z.object({
  endpoints: z.array(z.object({ id: z.string(), state: z.string() })),
});

const getPlace = (index: number): (typeof PLACES)[number] =>
  PLACES[index % PLACES.length] ?? PLACES[0];

/** A cluster of four runners that die when they run certain prompts. */
export class ContainmentProof {
  private constructor(
    readonly cluster: Cluster,
    readonly random: Random,
    private readonly caller: CallerClient,
  ) {}

  /** Runs a case with a cluster and ends it, whatever happens. */
  static async run(
    random: Random,
    body: (proof: ContainmentProof) => Promise<string>,
  ): Promise<string> {
    const cluster = await Cluster.start();
    const caller = CallerClient.create(getAccountKey(ACCOUNT));
    try {
      const proof = new ContainmentProof(cluster, random, caller);
      await proof.startAll();
      return await body(proof);
    } finally {
      await cluster.stop();
      await caller.close();
    }
  }

  listRunners(): ClusterVm[] {
    return [...this.cluster.vms.values()].filter(({ role }) => role === 'runner');
  }

  /** Makes runners die when they start a prompt with this text. */
  async setCrashText(text: string, ids: readonly string[] = RUNNERS): Promise<void> {
    for (const id of ids) {
      await this.cluster.setFaults(id, { crashOnPromptContaining: text });
    }
  }

  /** Sends a prompt once; an entry process that does not answer gives a result without status. */
  async send(entry: ClusterVm, prompt: string, maxTokens = 4): Promise<CallerResult | undefined> {
    try {
      return await this.caller.sendCompletion(
        this.cluster.getCallerUrl(entry),
        { model: MODEL, prompt, max_tokens: maxTokens, seed: 1 },
        { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) },
      );
    } catch {
      return undefined;
    }
  }

  /** Returns the ids of runners whose process is dead. */
  async listDead(): Promise<string[]> {
    const checked = await Promise.all(
      this.listRunners().map(async (vm) => ({ id: vm.id, isAlive: await this.isAlive(vm) })),
    );
    return checked.filter(({ isAlive }) => !isAlive).map(({ id }) => id);
  }

  async readQuarantine(entry: ClusterVm): Promise<{ type: string; endpoint: string }[]> {
    return quarantineSchema.parse(await this.cluster.readAdmin(entry, '/v1/quarantine')).entries;
  }

  /** Waits until each entry process has at least one entry of a type. */
  async waitNews(type: string): Promise<void> {
    for (const entry of this.cluster.listEntries()) {
      await waitUntil(`${entry.id} knows a ${type} request`, NEWS_TIMEOUT_MS, async () =>
        (await this.readQuarantine(entry)).some((known) => known.type === type),
      );
    }
  }

  /** Starts a dead runner again under its id, as the platform does, and waits until it is used. */
  async restart(id: string, crashText: string | undefined): Promise<void> {
    const index = RUNNERS.findIndex((name) => name === id);
    await this.startRunner(id, index);
    if (crashText !== undefined) await this.setCrashText(crashText, [id]);
    await this.waitReady(id);
  }

  /** Starts a further entry process. */
  async startEntry(id: string): Promise<ClusterVm> {
    const entry = await this.cluster.startEntry(id, getPlace(1));
    await this.cluster.waitReady();
    return entry;
  }

  async waitReady(id: string): Promise<void> {
    for (const entry of this.cluster.listEntries()) {
      await waitUntil(`${id} is ready at ${entry.id}`, READY_TIMEOUT_MS, async () => {
        const answer = await this.cluster.readAdmin(entry, '/v1/endpoints');
        const { endpoints } = endpointsSchema.parse(answer);
        return endpoints.some((endpoint) => endpoint.id === id && endpoint.state === 'ready');
      });
    }
  }

  private async startAll(): Promise<void> {
    const { cluster } = this;
    await Promise.all(RUNNERS.map(async (id, index) => this.startRunner(id, index)));
    for (const [index, id] of ENTRIES.entries()) await cluster.startEntry(id, getPlace(index));
    const published = await cluster.publish([
      createModelServiceFile(SERVICE),
      createModelFile(MODEL, SERVICE),
      createAccountFile(ACCOUNT, [SERVICE]),
    ]);
    assertProof(published.exitCode === 0, `not published: ${published.stderr}`);
    await cluster.waitReady();
    for (const id of RUNNERS) await this.waitReady(id);
  }

  private async startRunner(id: string, index: number): Promise<void> {
    await this.cluster.startEngine(id, getPlace(index), SERVICE, {
      models: [{ model: MODEL, weightVersion: 'v1', adapters: [] }],
    });
  }

  private async isAlive(vm: ClusterVm): Promise<boolean> {
    try {
      const response = await request(`${vm.process.url()}/v1/status`);
      await response.body.dump();
      return true;
    } catch {
      return false;
    }
  }
}
