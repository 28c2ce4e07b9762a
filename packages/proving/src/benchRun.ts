import { setTimeout as waitMs } from 'node:timers/promises';
import { getErrorMessage, processClock } from '@lovagearch/common';
import { computeExpectedText } from '@lovagearch/standins';
import { z } from 'zod';
import { BenchCluster, type PolicyName } from './benchCluster.js';
import { ANSWER_TOKENS, type BenchDeployment } from './benchDeployments.js';
import { startFault, stopFault, type BenchFault } from './benchFaults.js';
import { RecomputeFloor, WEIGHT_VERSION } from './benchFloor.js';
import { readTotalSeconds } from './benchProcessorTime.js';
import type { PlannedCall, PlannedPrompt, PlannedRequest } from './benchWorkload.js';
import { CallerClient, type CallerResult } from './callerClient.js';
import { getAccountKey } from './deployments.js';

/** One prompt with what its caller saw. */
export interface PromptOutcome {
  readonly type: 'prompt';
  readonly planned: PlannedPrompt;
  readonly floorTokens: number;
  /** Undefined when the call failed before an answer. */
  readonly result: CallerResult | undefined;
  readonly isRight: boolean;
  /** Time of the end since the start of the run. */
  readonly endedAtMs: number;
}

export interface CallOutcome {
  readonly type: 'call';
  readonly planned: PlannedCall;
  readonly status: number;
  readonly failureType: string | undefined;
}

/** Everything that one run measured. */
export interface RunOutcome {
  readonly prompts: readonly PromptOutcome[];
  readonly calls: readonly CallOutcome[];
  /** Idempotency keys that the services ran more than once. */
  readonly repeatedRuns: number;
  /** Bytes on the link from the first measured request to the end. */
  readonly linkBytes: number;
  readonly entrySeconds: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
}

export interface RunOptions {
  readonly deployment: BenchDeployment;
  readonly policy: PolicyName;
  readonly requests: readonly PlannedRequest[];
  readonly warmUpMs: number;
  readonly measuredMs: number;
  readonly fault: BenchFault | undefined;
}

const FAULT_SHARE_START = 1 / 3;
const FAULT_SHARE_END = 2 / 3;

const runsSchema = z.array(z.object({ idempotencyKey: z.string().nullable(), count: z.number() }));

/** Sends the requests of one run and collects what came back. */
class BenchRun {
  private readonly callers = new Map<string, CallerClient>();

  private readonly floor = RecomputeFloor.create();

  private readonly turns = new Map<string, number>();

  private readonly prompts: Promise<PromptOutcome>[] = [];

  private readonly calls: Promise<CallOutcome>[] = [];

  private startMs = 0;

  constructor(
    private readonly bench: BenchCluster,
    private readonly options: RunOptions,
  ) {}

  async run(): Promise<RunOutcome> {
    const { warmUpMs, measuredMs, requests, fault } = this.options;
    this.startMs = processClock.nowMs();
    const { startMs } = this;
    const warmUp = requests.filter(({ atMs }) => atMs < warmUpMs);
    await this.sendAll(warmUp, startMs);
    const { linkBytes } = this.bench;
    const pids = this.bench.listVms('entry').map((vm) => vm.process.pid);
    const entrySeconds = await readTotalSeconds(pids);
    const faults =
      fault === undefined ? Promise.resolve() : this.runFault(fault, startMs + warmUpMs);
    await this.sendAll(
      requests.filter(({ atMs }) => atMs >= warmUpMs),
      startMs,
    );
    const prompts = await Promise.all(this.prompts);
    const calls = await Promise.all(this.calls);
    await faults;
    const outcome = {
      prompts,
      calls,
      repeatedRuns: await this.countRepeatedRuns(),
      linkBytes: this.bench.linkBytes - linkBytes,
      entrySeconds: (await readTotalSeconds(pids)) - entrySeconds,
      warmUpMs,
      measuredMs,
    };
    for (const caller of this.callers.values()) await caller.close();
    return outcome;
  }

  private async sendAll(requests: readonly PlannedRequest[], startMs: number): Promise<void> {
    for (const planned of requests) {
      const pauseMs = startMs + planned.atMs - processClock.nowMs();
      if (pauseMs > 0) await waitMs(pauseMs);
      if (planned.type === 'prompt') this.prompts.push(this.sendPrompt(planned));
      else this.calls.push(this.sendCall(planned));
    }
  }

  private async runFault(fault: BenchFault, measuredAtMs: number): Promise<void> {
    const { measuredMs } = this.options;
    const waitUntilMs = async (atMs: number): Promise<unknown> =>
      waitMs(Math.max(0, atMs - processClock.nowMs()));
    await waitUntilMs(measuredAtMs + measuredMs * FAULT_SHARE_START);
    await startFault(this.bench, fault);
    await waitUntilMs(measuredAtMs + measuredMs * FAULT_SHARE_END);
    await stopFault(this.bench, fault);
  }

  private getCaller(account: string): CallerClient {
    const known = this.callers.get(account);
    if (known !== undefined) return known;
    const created = CallerClient.create(getAccountKey(account));
    this.callers.set(account, created);
    return created;
  }

  /** Returns the entry processes of a region in turn, as the platform's load balancer does. */
  private getUrl(region: string): string {
    const entries = this.bench.listEntries(region);
    const turn = this.turns.get(region) ?? 0;
    this.turns.set(region, turn + 1);
    const entry = entries[turn % entries.length];
    if (entry === undefined) throw new RangeError(`no entry process in ${region}`);
    return this.bench.cluster.getCallerUrl(entry);
  }

  private async sendPrompt(planned: PlannedPrompt): Promise<PromptOutcome> {
    const { model } = this.options.deployment;
    const { account, region, prompt, seed, requestClass } = planned;
    const floorTokens = this.floor.record(planned, model);
    try {
      const result = await this.getCaller(account).sendCompletion(this.getUrl(region), {
        model,
        prompt,
        seed,
        max_tokens: ANSWER_TOKENS,
        stream: true,
        priority: requestClass,
      });
      const source = { model, weightVersion: WEIGHT_VERSION, prompt, seed };
      const expected = computeExpectedText({ ...source, maxTokens: ANSWER_TOKENS });
      const isRight = result.isComplete
        ? result.text === expected
        : expected.startsWith(result.text);
      const endedAtMs = processClock.nowMs() - this.startMs;
      return { type: 'prompt', planned, floorTokens, result, isRight, endedAtMs };
    } catch {
      const endedAtMs = processClock.nowMs() - this.startMs;
      return {
        type: 'prompt',
        planned,
        floorTokens,
        result: undefined,
        isRight: true,
        endedAtMs,
      };
    }
  }

  private async sendCall(planned: PlannedCall): Promise<CallOutcome> {
    const { plainService, oncePath } = this.options.deployment;
    const { account, region, key } = planned;
    try {
      const { status, failure } = await this.getCaller(account).sendService(
        this.getUrl(region),
        `${plainService}${oncePath}`,
        { idempotencyKey: key, body: { key } },
      );
      return { type: 'call', planned, status, failureType: failure?.type };
    } catch (error) {
      return { type: 'call', planned, status: 0, failureType: getErrorMessage(error) };
    }
  }

  private async countRepeatedRuns(): Promise<number> {
    const counts = new Map<string, number>();
    for (const { id } of this.bench.listVms('service')) {
      for (const run of runsSchema.parse(await this.bench.cluster.readControl(id, 'runs'))) {
        const { idempotencyKey, count } = run;
        if (idempotencyKey === null) continue;
        counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + count);
      }
    }
    return [...counts.values()].filter((count) => count > 1).length;
  }
}

/** Starts a deployment, runs the requests against it and stops it. */
export const runBench = async (options: RunOptions): Promise<RunOutcome> => {
  const bench = await BenchCluster.start(options.deployment, options.policy);
  try {
    return await new BenchRun(bench, options).run();
  } finally {
    await bench.stop();
  }
};
