import { createRandom, chooseItem, MS_PER_SECOND, type Random } from '@lovagearch/common';
import { NEW_PROMPT_SHARE, PROMPT_TOKENS, QUESTION_TOKENS } from './benchDeployments.js';
import { createPrompt } from './prompts.js';

export type BenchClass = 'background' | 'interactive' | 'standard';

/** One request to a model, planned before the run so that every policy gets the same. */
export interface PlannedPrompt {
  readonly type: 'prompt';
  readonly atMs: number;
  readonly account: string;
  readonly region: string;
  readonly requestClass: BenchClass;
  readonly prompt: string;
  readonly seed: number;
  /** False during the warm-up. */
  readonly isMeasured: boolean;
}

/** A non-idempotent call; a repeated one has the key of an earlier call. */
export interface PlannedCall {
  readonly type: 'call';
  readonly atMs: number;
  readonly account: string;
  readonly region: string;
  readonly key: string;
}

export type PlannedRequest = PlannedCall | PlannedPrompt;

export interface WorkloadOptions {
  readonly seed: number;
  readonly regions: readonly string[];
  readonly warmUpMs: number;
  readonly measuredMs: number;
  readonly requestsPerSecond: number;
  /** Mean time until a prompt returns. */
  readonly gapMs: number;
}

/** Accounts with their share of the work; three are large. */
const ACCOUNT_SHARES: readonly (readonly [string, number])[] = [
  ['client-01', 0.3],
  ['client-02', 0.2],
  ['client-03', 0.15],
  ...[4, 5, 6, 7, 8, 9].map((index) => [`client-0${index}`, 0.05] as const),
  ['client-10', 0.05],
];
export const ACCOUNTS: readonly string[] = ACCOUNT_SHARES.map(([name]) => name);
/** Share of prompts whose home is the first region. */
const FIRST_REGION_SHARE = 0.65;
/** Share of returns that reach the other region than the one before. */
const ROAMING_SHARE = 0.05;
/** Non-idempotent calls a second, and the share of them that callers repeat. */
const CALLS_PER_SECOND = 2;
const REPEATED_SHARE = 0.2;
const REPEAT_AFTER_MS = 300;

interface Conversation {
  readonly account: string;
  readonly region: string;
  readonly requestClass: BenchClass;
  readonly text: string;
  /** Time before which the prompt does not return. */
  readonly idleUntilMs: number;
}

/** Creates the requests of one run; equal options give equal requests. */
class WorkloadBuilder {
  private readonly random: Random;

  private conversations: Conversation[] = [];

  private readonly requests: PlannedRequest[] = [];

  private created = 0;

  constructor(private readonly options: WorkloadOptions) {
    this.random = createRandom(options.seed);
  }

  build(): PlannedRequest[] {
    const { warmUpMs, measuredMs, requestsPerSecond, gapMs } = this.options;
    const prompts = Math.round((requestsPerSecond * gapMs) / MS_PER_SECOND);
    for (let index = 0; index < prompts; index++) this.addNew((index * warmUpMs) / prompts);
    const endMs = warmUpMs + measuredMs;
    for (let atMs = warmUpMs; atMs < endMs; atMs += this.createPause(requestsPerSecond)) {
      if (this.random() < NEW_PROMPT_SHARE || !this.addReturn(atMs)) this.addNew(atMs);
    }
    for (let atMs = warmUpMs; atMs < endMs; atMs += this.createPause(CALLS_PER_SECOND)) {
      this.addCall(atMs);
    }
    return this.requests.sort((a, b) => a.atMs - b.atMs);
  }

  private createPause(perSecond: number): number {
    return (-Math.log(1 - this.random()) * MS_PER_SECOND) / perSecond;
  }

  private chooseAccount(): string {
    let left = this.random();
    for (const [account, share] of ACCOUNT_SHARES) {
      left -= share;
      if (left < 0) return account;
    }
    return 'client-10';
  }

  private chooseClass(): BenchClass {
    const value = this.random();
    if (value < 0.5) return 'interactive';
    return value < 0.85 ? 'standard' : 'background';
  }

  private addNew(atMs: number): void {
    const { seed, regions } = this.options;
    this.created += 1;
    const { min, max } = PROMPT_TOKENS;
    const tokens = Math.floor(min + this.random() * (max - min - 10 * QUESTION_TOKENS.max));
    const region = this.random() < FIRST_REGION_SHARE ? regions[0] : regions[1];
    this.addPrompt(atMs, {
      account: this.chooseAccount(),
      region: region ?? '',
      requestClass: this.chooseClass(),
      text: createPrompt(seed * 1_000_003 + this.created, tokens),
      idleUntilMs: 0,
    });
  }

  /** Sends a prompt again with a further question; returns false if none is idle for long enough. */
  private addReturn(atMs: number): boolean {
    const idle = this.conversations.filter(({ idleUntilMs }) => idleUntilMs <= atMs);
    const conversation = chooseItem(idle, this.random);
    if (conversation === undefined) return false;
    this.conversations = this.conversations.filter((other) => other !== conversation);
    const { min, max } = QUESTION_TOKENS;
    const question = createPrompt(
      Math.floor(this.random() * 2 ** 31),
      Math.floor(min + this.random() * (max - min)),
    );
    this.addPrompt(atMs, { ...conversation, text: `${conversation.text} ${question}` });
    return true;
  }

  private addPrompt(atMs: number, conversation: Conversation): void {
    const { regions, warmUpMs, gapMs } = this.options;
    const { account, region, requestClass, text } = conversation;
    const isRoaming = this.random() < ROAMING_SHARE;
    const sentTo = isRoaming ? (regions.find((other) => other !== region) ?? region) : region;
    this.requests.push({
      type: 'prompt',
      atMs,
      account,
      region: sentTo,
      requestClass,
      prompt: text,
      seed: Math.floor(this.random() * 1_000),
      isMeasured: atMs >= warmUpMs,
    });
    // Half of the mean gap is fixed, so that a cached prompt is evicted before it returns.
    this.conversations.push({ ...conversation, idleUntilMs: atMs + gapMs / 2 });
  }

  private addCall(atMs: number): void {
    const { regions } = this.options;
    const account = this.chooseAccount();
    const key = `call-${this.requests.length}-${Math.floor(this.random() * 2 ** 31)}`;
    const call = { type: 'call', account, key } as const;
    this.requests.push({ ...call, atMs, region: chooseItem(regions, this.random) ?? '' });
    if (this.random() >= REPEATED_SHARE) return;
    const region = chooseItem(regions, this.random) ?? '';
    this.requests.push({ ...call, atMs: atMs + REPEAT_AFTER_MS * this.random(), region });
  }
}

/**
 * Plans the requests of one run in order of time.
 *
 * @example
 * const requests = createWorkload({ seed: 1, regions: ['south', 'north'], warmUpMs: 10_000,
 *   measuredMs: 15_000, requestsPerSecond: 14, gapMs: 10_000 });
 */
export const createWorkload = (options: WorkloadOptions): PlannedRequest[] =>
  new WorkloadBuilder(options).build();
