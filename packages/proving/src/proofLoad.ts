import { chooseItem, getErrorMessage, type Random } from '@lovagearch/common';
import { computeExpectedText } from '@lovagearch/standins';
import { setTimeout as waitMs } from 'node:timers/promises';
import type { CallerClient, CallerResult } from './callerClient.js';
import type { Cluster, ClusterVm } from './cluster.js';
import { PLAIN_SERVICE, PROOF_MODEL } from './drainCluster.js';
import { assertProof } from './proofCase.js';
import { createPrompt } from './prompts.js';
import type { CallerFailure } from './streamReader.js';
import { waitUntil } from './waiting.js';

const MAX_PAUSE_MS = 60;
const QUIET_TIMEOUT_MS = 10_000;
const MAX_SHOWN_FAILURES = 4;
const MAX_SEED = 2 ** 31;

/** `long` is a stream of some seconds; `read` and `claim` call the plain service. */
export type LoadType = 'claim' | 'long' | 'read' | 'stream' | 'whole';

export interface LoadOptions {
  readonly cluster: Cluster;
  readonly caller: CallerClient;
  readonly random: Random;
  /** Callers of each type; each sends its next request after the answer. */
  readonly callers: Partial<Record<LoadType, number>>;
  /** Weight versions whose text counts as right; `v1` without it. */
  readonly weightVersions?: readonly string[];
  /** Failures that the case accepts. */
  readonly isAccepted?: (type: LoadType, failure: CallerFailure) => boolean;
}

/** A claim that was answered. */
export interface AnsweredClaim {
  readonly idempotencyKey: string;
  readonly answer: string;
}

const RANGES: Record<'long' | 'stream' | 'whole', readonly [number, number]> = {
  stream: [8, 40],
  whole: [8, 40],
  long: [150, 250],
};

/**
 * Callers behind a load balancer: each sends requests through the entry processes that are in
 * rotation and checks every answer against the text that the engine stand-in must generate.
 */
export class ProofLoad {
  readonly failures: string[] = [];

  /** Claims that may run at most once, with the answer that was received. */
  readonly claims: AnsweredClaim[] = [];

  completed = 0;

  refusedByDrain = 0;

  accepted = 0;

  /** Callers that have not ended. */
  activeCallers = 0;

  private readonly targets = new Map<string, string>();

  private readonly inFlight = new Map<string, number>();

  private readonly workers: Promise<void>[] = [];

  private isStopped = false;

  private requests = 0;

  private constructor(private readonly options: LoadOptions) {}

  /** Starts the callers on all entry processes of the cluster. */
  static start(options: LoadOptions): ProofLoad {
    const load = new ProofLoad(options);
    for (const entry of options.cluster.listEntries()) load.addTarget(entry);
    options.cluster.addStopHandler(async () => load.endCallers());
    for (const [type, count] of Object.entries(options.callers)) {
      for (let worker = 0; worker < count; worker++) {
        // A worker records its failures, so this promise never rejects before `stop` awaits it.
        load.workers.push(load.runWorker(type as LoadType));
      }
    }
    return load;
  }

  addTarget(entry: ClusterVm): void {
    this.targets.set(entry.id, this.options.cluster.getCallerUrl(entry));
  }

  /** Takes an entry process out of rotation; its running requests go on. */
  removeTarget(id: string): void {
    this.targets.delete(id);
  }

  /** Waits until no request runs at an entry process that is out of rotation. */
  async waitQuiet(id: string): Promise<void> {
    await waitUntil(
      `no request runs at ${id}`,
      QUIET_TIMEOUT_MS,
      async () => (this.inFlight.get(id) ?? 0) === 0,
    );
  }

  /** Waits until a number of further requests have completed. */
  async waitCompleted(count: number): Promise<void> {
    const goal = this.completed + count;
    await waitUntil(
      `${count} requests completed`,
      QUIET_TIMEOUT_MS,
      async () => this.completed >= goal,
    );
  }

  /** Lets running requests end and fails the proof if any of them failed. */
  async stop(): Promise<string> {
    await this.endCallers();
    const { length } = this.failures;
    const shown = this.failures.slice(0, MAX_SHOWN_FAILURES).join('; ');
    assertProof(length === 0, `${length} of ${this.requests} requests failed: ${shown}`);
    assertProof(this.completed > 0, 'no request completed');
    const refusals = this.refusedByDrain > 0 ? `, ${this.refusedByDrain} refused as draining` : '';
    const accepted = this.accepted > 0 ? `, ${this.accepted} failed as the case accepts` : '';
    return `${this.completed} requests whole${refusals}${accepted}`;
  }

  private async endCallers(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.workers);
  }

  private async runWorker(type: LoadType): Promise<void> {
    const { random } = this.options;
    this.activeCallers += 1;
    while (!this.isStopped) {
      const id = chooseItem([...this.targets.keys()].sort(), random);
      const url = id === undefined ? undefined : this.targets.get(id);
      if (id !== undefined && url !== undefined) await this.runRequest(type, id, url);
      // Spreads the requests, so that they don't all start at the same moment.
      await waitMs(random() * MAX_PAUSE_MS);
    }
    this.activeCallers -= 1;
  }

  private async runRequest(type: LoadType, entry: string, url: string): Promise<void> {
    this.requests += 1;
    const name = `${type} ${this.requests} at ${entry}`;
    this.inFlight.set(entry, (this.inFlight.get(entry) ?? 0) + 1);
    try {
      if (type === 'read' || type === 'claim') await this.runServiceCall(type, name, url);
      else await this.runCompletion(type, name, url);
    } catch (error) {
      this.failures.push(`${name}: ${getErrorMessage(error)}`);
    } finally {
      this.inFlight.set(entry, (this.inFlight.get(entry) ?? 1) - 1);
    }
  }

  private async runCompletion(
    type: 'long' | 'stream' | 'whole',
    name: string,
    url: string,
  ): Promise<void> {
    const { caller, random } = this.options;
    const [least, most] = RANGES[type];
    const seed = Math.floor(random() * MAX_SEED);
    const body = {
      model: PROOF_MODEL,
      prompt: createPrompt(seed, 64 + (seed % 192)),
      max_tokens: least + (seed % (most - least)),
      seed,
      stream: type !== 'whole',
    };
    const result = await caller.sendCompletion(url, body);
    if (result.failure !== undefined) this.recordFailure(type, name, result.failure);
    else if (!result.isComplete) this.failures.push(`${name}: the answer is not complete`);
    else if (!this.isRightText(body, result)) this.failures.push(`${name}: the text is wrong`);
    else this.completed += 1;
  }

  private isRightText(
    body: { readonly prompt: string; readonly seed: number; readonly max_tokens: number },
    { text }: CallerResult,
  ): boolean {
    const { weightVersions = ['v1'] } = this.options;
    const { prompt, seed, max_tokens: maxTokens } = body;
    return weightVersions.some((weightVersion) => {
      const source = { model: PROOF_MODEL, weightVersion, prompt, seed, maxTokens };
      return computeExpectedText(source) === text;
    });
  }

  private async runServiceCall(type: 'claim' | 'read', name: string, url: string): Promise<void> {
    const { caller } = this.options;
    const idempotencyKey = `claim-${this.requests}`;
    const result =
      type === 'read'
        ? await caller.sendService(url, `${PLAIN_SERVICE}/reads`, { method: 'GET' })
        : await caller.sendService(url, `${PLAIN_SERVICE}/claims`, {
            idempotencyKey,
            body: { claim: idempotencyKey },
          });
    if (result.failure !== undefined) {
      this.recordFailure(type, name, result.failure);
      return;
    }
    if (result.status !== 200) {
      this.failures.push(`${name}: status ${result.status}`);
      return;
    }
    this.completed += 1;
    if (type === 'claim') {
      this.claims.push({ idempotencyKey, answer: JSON.stringify(result.body) });
    }
  }

  private recordFailure(type: LoadType, name: string, failure: CallerFailure): void {
    if (failure.type === 'draining' && failure.run === 'not_run') this.refusedByDrain += 1;
    else if (this.options.isAccepted?.(type, failure) === true) this.accepted += 1;
    else this.failures.push(`${name}: ${failure.type}, ${failure.run}, ${failure.message}`);
  }
}
