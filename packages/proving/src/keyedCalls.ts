import { chooseItem, computeSha256Hex, type Random } from '@lovagearch/common';
import { setTimeout as waitMs } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { z } from 'zod';
import type { KeyedCall, KeyedOutcome } from './runCheckers.js';

/** A caller gives up on an entry process that does not answer within this time. */
const CALL_TIMEOUT_MS = 8_000;
const WORKERS = 6;
/** Pause of a worker between two calls, in milliseconds. */
const CALL_PAUSE_MS = 25;
/** Time between two new keys, so that keys begin before, during and after the faults. */
const NEW_KEY_MS = 120;
const MAX_KEYS = 300;
/** Newest keys, which half of the calls use, so that calls with one key overlap. */
const NEWEST_KEYS = 4;
/** Time that a key has after the faults to reach an outcome that its caller can act on. */
const SETTLE_TIMEOUT_MS = 15_000;
const SETTLE_PAUSE_MS = 250;
const SETTLE_AT_ONCE = 24;

const refusalSchema = z.object({
  error: z.object({ type: z.string(), run: z.enum(['not_run', 'ran', 'unknown']) }),
});

export interface KeyedCallsOptions {
  readonly accountKey: string;
  /** Service and path, such as `ledger/claims`. */
  readonly path: string;
  readonly random: Random;
  readonly listUrls: () => readonly string[];
}

/**
 * Callers that send the same idempotency keys again and again through all entry processes, and
 * record what each of them was told.
 *
 * @example
 * const calls = KeyedCalls.create(options);
 * calls.start();
 * await calls.stop();
 * const lastCalls = await calls.settle();
 */
export class KeyedCalls {
  readonly calls: KeyedCall[] = [];

  private readonly agent = new Agent({ connections: 64, pipelining: 1 });

  private readonly keys: string[] = [];

  private isStopped = false;

  private workers: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: KeyedCallsOptions) {}

  static create(options: KeyedCallsOptions): KeyedCalls {
    return new KeyedCalls(options);
  }

  /** Begins to send calls. */
  start(): void {
    const workers = Array.from({ length: WORKERS }, async () => this.runWorker());
    this.workers = Promise.all([this.runKeys(), ...workers]);
  }

  /** Sends no further call and waits for those that run. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.workers;
  }

  async close(): Promise<void> {
    await this.stop();
    await this.agent.destroy();
  }

  /** Repeats each key until it has an outcome that does not pass; returns the last calls. */
  async settle(): Promise<KeyedCall[]> {
    const last: KeyedCall[] = [];
    for (let start = 0; start < this.keys.length; start += SETTLE_AT_ONCE) {
      const some = this.keys.slice(start, start + SETTLE_AT_ONCE);
      last.push(...(await Promise.all(some.map(async (key) => this.settleKey(key)))));
    }
    return last;
  }

  /** Sends one call with a key and records its outcome. */
  async send(url: string, key: string): Promise<KeyedCall> {
    const requestId = `${key}-call-${this.calls.length}-${Math.floor(this.options.random() * 1e9)}`;
    const call = { key, requestId, outcome: await this.trySend(url, key, requestId) };
    this.calls.push(call);
    return call;
  }

  private async settleKey(key: string): Promise<KeyedCall> {
    const tries = SETTLE_TIMEOUT_MS / SETTLE_PAUSE_MS;
    for (let count = 1; ; count++) {
      const call = await this.send(this.chooseUrl(), key);
      const { outcome } = call;
      if (outcome.type === 'answered' || count >= tries) return call;
      if (outcome.type === 'refused' && outcome.error === 'outcome_unknown') return call;
      await waitMs(SETTLE_PAUSE_MS);
    }
  }

  private async runKeys(): Promise<void> {
    while (!this.isStopped) {
      if (this.keys.length < MAX_KEYS) this.keys.push(`claim-${this.keys.length}`);
      await waitMs(NEW_KEY_MS);
    }
  }

  private async runWorker(): Promise<void> {
    const { random } = this.options;
    while (!this.isStopped) {
      const keys = random() < 0.5 ? this.keys.slice(-NEWEST_KEYS) : this.keys;
      const key = chooseItem(keys, random);
      if (key !== undefined) await this.send(this.chooseUrl(), key);
      await waitMs(CALL_PAUSE_MS);
    }
  }

  private chooseUrl(): string {
    return chooseItem(this.options.listUrls(), this.options.random) ?? '';
  }

  private async trySend(url: string, key: string, requestId: string): Promise<KeyedOutcome> {
    const answer = await this.tryRequest(url, key, requestId);
    if (answer === undefined) return { type: 'lost' };
    if (answer.status === 200) return { type: 'answered', digest: computeSha256Hex(answer.text) };
    const { error } = refusalSchema.parse(JSON.parse(answer.text));
    return { type: 'refused', run: error.run, error: error.type };
  }

  private async tryRequest(
    url: string,
    key: string,
    requestId: string,
  ): Promise<{ readonly status: number; readonly text: string } | undefined> {
    const { accountKey, path } = this.options;
    try {
      const response = await request(`${url}/services/${path}`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: {
          authorization: `Bearer ${accountKey}`,
          'content-type': 'application/json',
          'idempotency-key': key,
          'x-request-id': requestId,
        },
        body: JSON.stringify({ claim: key }),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      return { status: response.statusCode, text: await response.body.text() };
    } catch {
      // The connection broke or the entry process is frozen; nothing was told.
      return undefined;
    }
  }
}
