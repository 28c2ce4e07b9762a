import { MS_PER_SECOND, TOKENS_PER_BLOCK } from '@lovagearch/common';
import type { EngineFaults, EngineOptions } from './engineSchemas.js';
import { getPrefillTokens, type Sequence } from './engineSequence.js';
import type { KvTransfer } from './kvTransfer.js';
import type { PrefixCache } from './prefixCache.js';
import type { StreamEnd, StreamHub } from './streamHub.js';

export interface SchedulerParts {
  readonly options: EngineOptions;
  readonly cache: PrefixCache;
  readonly hub: StreamHub;
  readonly transfer: KvTransfer;
  readonly getFaults: () => EngineFaults;
  readonly onStarted: (sequence: Sequence) => void;
  readonly onStored: (tailKey: string, depth: number) => void;
  readonly onWrongBlocks: (keys: readonly string[], sequence: Sequence) => void;
}

/**
 * Continuous batching in time steps: each step computes a bounded number of prompt tokens and one
 * token of every sequence in the batch that is past its prompt.
 */
export class EngineScheduler {
  private readonly queue: Sequence[] = [];

  private readonly batch = new Set<Sequence>();

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly parts: SchedulerParts) {}

  static create(parts: SchedulerParts): EngineScheduler {
    return new EngineScheduler(parts);
  }

  get isFull(): boolean {
    return this.queue.length >= this.parts.options.maxQueue;
  }

  get isIdle(): boolean {
    return this.queue.length === 0 && this.batch.size === 0;
  }

  get activeSequences(): number {
    return this.batch.size;
  }

  get queuedPromptTokens(): number {
    let tokens = 0;
    for (const { prefillLeft } of this.queue) tokens += prefillLeft;
    for (const { prefillLeft } of this.batch) tokens += prefillLeft;
    return tokens;
  }

  /** Queues a sequence behind those of the same or a higher priority. */
  add(sequence: Sequence): void {
    const isBehind = (other: Sequence): boolean => other.call.priority > sequence.call.priority;
    const position = this.queue.findIndex(isBehind);
    this.queue.splice(position < 0 ? this.queue.length : position, 0, sequence);
    this.schedule();
  }

  /** Ends a stream's sequence at the next step. */
  cancel(streamId: string): void {
    for (const sequence of [...this.queue, ...this.batch]) {
      if (sequence.stream.id === streamId) sequence.isCancelled = true;
    }
  }

  private schedule(): void {
    if (this.timer !== undefined || this.isIdle) return;
    const stepMs = this.parts.options.stepMs * this.parts.getFaults().slowFactor;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.runStep();
      this.schedule();
    }, stepMs);
  }

  private runStep(): void {
    while (this.batch.size < this.parts.options.maxBatch) {
      const sequence = this.queue.shift();
      if (sequence === undefined) break;
      this.start(sequence);
    }
    const { prefillTokensPerSecond, stepMs } = this.parts.options;
    let budget = Math.max(1, (prefillTokensPerSecond * stepMs) / MS_PER_SECOND);
    for (const sequence of [...this.batch]) {
      if (sequence.isCancelled) this.end(sequence, 'cancelled');
      else if (sequence.phase === 'prefill') budget -= this.runPrefill(sequence, budget);
      else if (sequence.phase === 'decode') this.runDecode(sequence);
    }
  }

  private start(sequence: Sequence): void {
    const { cache, getFaults } = this.parts;
    if (sequence.isCancelled) {
      this.end(sequence, 'cancelled');
      return;
    }
    const crashText = getFaults().crashOnPromptContaining;
    if (crashText !== null && sequence.call.prompt.includes(crashText)) {
      process.kill(process.pid, 'SIGKILL');
    }
    this.batch.add(sequence);
    const depth = cache.takePrefix(sequence.chain);
    Object.assign(sequence, { cachedDepth: depth, pinnedDepth: depth });
    const { kvSource } = sequence.call;
    if (kvSource === undefined || kvSource.depth <= depth) {
      this.startPrefill(sequence);
      return;
    }
    Object.assign(sequence, { phase: 'importing' });
    this.import(sequence, kvSource).catch(() => this.startPrefill(sequence));
  }

  private async import(
    sequence: Sequence,
    kvSource: NonNullable<Sequence['call']['kvSource']>,
  ): Promise<void> {
    const { cache, transfer, onWrongBlocks } = this.parts;
    const keys = sequence.chain.map(({ key }) => key);
    const imported = await transfer.import(kvSource, keys);
    // The sequence may have been cancelled, and its blocks released, during the transfer.
    if (!this.batch.has(sequence)) return;
    if (imported !== undefined) {
      if (imported.wrongKeys.length > 0) onWrongBlocks(imported.wrongKeys, sequence);
      Object.assign(sequence, { importedDepth: imported.keys.length - sequence.cachedDepth });
      this.commit(sequence, imported.keys.length, cache);
    }
    this.startPrefill(sequence);
  }

  private startPrefill(sequence: Sequence): void {
    const presentDepth = sequence.cachedDepth + sequence.importedDepth;
    const prefillLeft = getPrefillTokens(sequence, presentDepth);
    Object.assign(sequence, { phase: 'prefill', prefillLeft });
    this.parts.onStarted(sequence);
  }

  /** Computes prompt tokens within the budget and returns their number. */
  private runPrefill(sequence: Sequence, budget: number): number {
    const tokens = Math.min(Math.max(0, budget), sequence.prefillLeft);
    const prefillLeft = sequence.prefillLeft - tokens;
    const doneTokens = sequence.promptTokens + sequence.startPosition - prefillLeft;
    Object.assign(sequence, { prefillLeft });
    // A block is readable only after the step that computed it has been committed.
    this.commit(sequence, Math.floor(doneTokens / TOKENS_PER_BLOCK), this.parts.cache);
    if (prefillLeft > 0) return tokens;
    Object.assign(sequence, { phase: 'decode' });
    const tail = sequence.chain[sequence.pinnedDepth - 1];
    if (tail !== undefined && sequence.pinnedDepth > sequence.cachedDepth) {
      this.parts.onStored(tail.key, sequence.pinnedDepth);
    }
    return tokens;
  }

  private commit(sequence: Sequence, depth: number, cache: PrefixCache): void {
    const lastDepth = Math.min(depth, sequence.chain.length);
    let { pinnedDepth } = sequence;
    while (pinnedDepth < lastDepth && cache.add(sequence.chain, pinnedDepth, sequence.version)) {
      pinnedDepth += 1;
    }
    Object.assign(sequence, { pinnedDepth });
  }

  private runDecode(sequence: Sequence): void {
    const { stream, answer, startPosition, call } = sequence;
    const position = startPosition + stream.tokens.length;
    if (position >= answer.count) this.end(sequence, 'stop');
    else this.parts.hub.addToken(stream, answer.getToken(position));
    if (stream.end === undefined && stream.tokens.length >= call.maxTokens) {
      this.end(sequence, 'length');
    }
  }

  private end(sequence: Sequence, finishReason: StreamEnd['finishReason']): void {
    this.batch.delete(sequence);
    this.parts.cache.releasePrefix(sequence.chain, sequence.pinnedDepth);
    const usage = {
      promptTokens: sequence.promptTokens,
      cachedTokens: sequence.cachedDepth * TOKENS_PER_BLOCK,
      importedTokens: sequence.importedDepth * TOKENS_PER_BLOCK,
      completionTokens: sequence.stream.tokens.length,
    };
    this.parts.hub.close(sequence.stream, { finishReason, usage });
  }
}
