import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { processClock, type Random } from '@lovagearch/common';
import { request } from 'undici';
import { z } from 'zod';
import { Cluster, type ClusterVm } from './cluster.js';
import type { CommandResult } from './commands.js';
import {
  createAccountFile,
  createModelFile,
  createModelServiceFile,
  getAccountKey,
  type ConfigurationFile,
} from './deployments.js';
import { assertProof } from './proofCase.js';
import { findReverts, type RevisionReading } from './runCheckers.js';
import { waitUntil } from './waiting.js';

/** Invariant 9: an accepted configuration is in force everywhere within this time. */
export const IN_FORCE_LIMIT_MS = 14_000;
const READ_INTERVAL_MS = 100;
const READ_TIMEOUT_MS = 1_000;
const SERVICE = 'estimator';
const PLACES = [
  { region: 'south', zone: 'chiayi' },
  { region: 'south', zone: 'tainan' },
  { region: 'north', zone: 'taoyuan' },
] as const;

const statusSchema = z.object({
  revision: z.number().int(),
  digest: z.string(),
});
export type ConfigurationReading = z.infer<typeof statusSchema>;

/** A cluster whose nodes' revisions are read again and again. */
export class ConfigurationProof {
  private readonly readings: RevisionReading[] = [];

  private reading: Promise<void> = Promise.resolve();

  private isStopped = false;

  private constructor(
    readonly cluster: Cluster,
    readonly random: Random,
    private readonly settings: string,
  ) {}

  /** Runs a case with a cluster and ends it, whatever happens. */
  static async run(
    random: Random,
    body: (proof: ConfigurationProof) => Promise<string>,
  ): Promise<string> {
    const cluster = await Cluster.start({ hasPlatformProxy: true });
    const settings = await cluster.writeSettings('operators', { region: 'any', zone: 'any' });
    const proof = new ConfigurationProof(cluster, random, settings);
    try {
      await proof.startEntries();
      proof.reading = proof.runReadings();
      const detail = await body(proof);
      proof.checkReverts();
      return detail;
    } finally {
      proof.isStopped = true;
      await proof.reading;
      await proof.cluster.stop();
    }
  }

  createAccount(name: string, overrides: object = {}): ConfigurationFile {
    return createAccountFile(name, [SERVICE], overrides);
  }

  /** Publishes files through the command line, without waiting for the nodes. */
  async publish(publisher: string, files: readonly ConfigurationFile[]): Promise<CommandResult> {
    const folder = join(this.cluster.folder, `files-${publisher}`);
    await mkdir(folder, { recursive: true });
    for (const file of files) {
      await writeFile(join(folder, `${file.name}.lovagearch.jsonc`), JSON.stringify(file));
    }
    const options = ['--settings', this.settings, '--name', publisher];
    return this.cluster.runCli(['publish', folder, ...options]);
  }

  /** Publishes a new account; it must be accepted. */
  async publishAccount(name: string): Promise<void> {
    const result = await this.publish(`operator-${name}`, [this.createAccount(name)]);
    assertProof(result.exitCode === 0, `${name}: exit ${result.exitCode}: ${result.stderr}`);
  }

  async readStatus(entry: ClusterVm): Promise<ConfigurationReading> {
    const response = await request(`${entry.process.url('admin')}/v1/configuration`, {
      headers: { authorization: `Bearer ${this.cluster.operatorKey}` },
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    return statusSchema.parse(await response.body.json());
  }

  /** Tells whether a node serves an account, which it does once its file is in force. */
  async isServing(entry: ClusterVm, account: string): Promise<boolean> {
    const response = await request(`${this.cluster.getCallerUrl(entry)}/v1/models`, {
      headers: { authorization: `Bearer ${getAccountKey(account)}` },
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode === 200;
  }

  /**
   * Waits until nodes serve an account.
   *
   * @returns the time since `startMs` until the last node served it, in milliseconds
   */
  async waitInForce(
    account: string,
    entries: readonly ClusterVm[],
    startMs = processClock.nowMs(),
  ): Promise<number> {
    await Promise.all(
      entries.map(async (entry) =>
        waitUntil(`${account} is in force at ${entry.id}`, IN_FORCE_LIMIT_MS, async () =>
          this.isServing(entry, account),
        ),
      ),
    );
    const elapsedMs = processClock.nowMs() - startMs;
    assertProof(elapsedMs <= IN_FORCE_LIMIT_MS, `${account} in force after ${elapsedMs} ms`);
    return elapsedMs;
  }

  /** Checks that nodes have the same configuration, and returns its revision. */
  async checkSame(entries: readonly ClusterVm[]): Promise<number> {
    const statuses = await Promise.all(entries.map(async (entry) => this.readStatus(entry)));
    const kinds = new Set(statuses.map(({ digest, revision }) => `${revision} ${digest}`));
    assertProof(kinds.size === 1, `nodes differ: ${[...kinds].join(', ')}`);
    return statuses[0]?.revision ?? 0;
  }

  /** Starts three entry processes with a first configuration in force. */
  private async startEntries(): Promise<void> {
    const { cluster } = this;
    for (const [index, place] of PLACES.entries()) {
      await cluster.startEntry(`entry-${index + 1}`, place);
    }
    const files = [createModelServiceFile(SERVICE), createModelFile('crop-8b', SERVICE)];
    const first = await this.publish('association', [...files, this.createAccount('first')]);
    assertProof(first.exitCode === 0, `not published: ${first.stderr}`);
    await this.waitInForce('first', cluster.listEntries());
  }

  private checkReverts(): void {
    const reverted = findReverts(this.readings);
    assertProof(reverted.length === 0, `reverted to an older revision: ${reverted.join(', ')}`);
    assertProof(this.readings.length > 0, 'no revision was read');
  }

  private async runReadings(): Promise<void> {
    while (!this.isStopped) {
      await Promise.all(this.cluster.listEntries().map(async (entry) => this.tryRead(entry)));
      await new Promise((resolve) => {
        setTimeout(resolve, READ_INTERVAL_MS);
      });
    }
  }

  private async tryRead(entry: ClusterVm): Promise<void> {
    try {
      const { revision } = await this.readStatus(entry);
      this.readings.push({ node: entry.id, process: entry.process.pid, revision });
    } catch {
      // A frozen or killed process tells nothing.
    }
  }
}
