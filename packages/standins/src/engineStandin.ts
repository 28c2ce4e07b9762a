import { BLOCK_BYTES, computeSha256Hex, processClock, TOKENS_PER_BLOCK } from '@lovagearch/common';
import { randomUUID } from 'node:crypto';
import { setTimeout as waitMs } from 'node:timers/promises';
import { ArrivalLog } from './arrivalLog.js';
import { CacheEventLog } from './cacheEvents.js';
import type { EngineFaults, EngineOptions, GenerateCall } from './engineSchemas.js';
import { EngineScheduler } from './engineScheduler.js';
import { createSequence, getVersionName, type Sequence } from './engineSequence.js';
import { computeExpectedText } from './expectedText.js';
import { KvTransfer } from './kvTransfer.js';
import { LoadSampler } from './loadSampler.js';
import { ModelSlots } from './modelSlots.js';
import { PrefixCache } from './prefixCache.js';
import { type Stream, StreamHub } from './streamHub.js';

const MAX_LOGGED = 1_000;
/** Pause between two checks whether the running streams have ended, in milliseconds. */
const DRAIN_CHECK_MS = 10;

export interface Refusal {
  readonly status: number;
  readonly type: string;
}

/** A use of cache or text that a correct system never causes. */
export interface EngineViolation {
  readonly type: 'wrong_block' | 'wrong_generated_text';
  readonly detail: string;
}

const REFUSAL_STATUS = {
  queue_full: 429,
  draining: 503,
  loading: 503,
  wrong_version: 409,
} as const;

const addBounded = <Item>(list: Item[], item: Item): void => {
  list.push(item);
  if (list.length > MAX_LOGGED) list.shift();
};

/** The parts of the engine stand-in and the rules of accepting prompts. */
export class EngineStandin {
  readonly boot = randomUUID();

  readonly runs: object[] = [];

  readonly violations: EngineViolation[] = [];

  /** New prompts, accepted or refused; a prompt that joins its stream is none. */
  readonly arrivals = ArrivalLog.create();

  readonly orders = ArrivalLog.create();

  readonly events: CacheEventLog;

  readonly cache: PrefixCache;

  readonly slots: ModelSlots;

  readonly hub: StreamHub;

  readonly scheduler: EngineScheduler;

  readonly transfer: KvTransfer;

  readonly load: LoadSampler;

  faults: EngineFaults;

  private isDraining = false;

  private constructor(readonly options: EngineOptions) {
    this.faults = options.faults;
    this.events = CacheEventLog.create(options, processClock);
    this.transfer = KvTransfer.create(options.kvBytesPerToken);
    this.cache = this.createCache();
    this.slots = this.createSlots();
    this.hub = StreamHub.create({
      retainMs: options.retainMs,
      heartbeatMs: options.heartbeatMs,
      clock: processClock,
      getFaults: () => this.faults,
      getLoad: () => this.load.getCurrent(),
    });
    this.scheduler = this.createScheduler();
    this.load = LoadSampler.create(
      () => ({
        queuedPromptTokens: Math.round(this.scheduler.queuedPromptTokens),
        activeSequences: this.scheduler.activeSequences,
        cacheUse: this.cache.use,
      }),
      options.loadLagMs,
      processClock,
    );
  }

  static create(options: EngineOptions): EngineStandin {
    return new EngineStandin(options);
  }

  get state(): 'draining' | 'loading' | 'ready' {
    if (this.isDraining) return 'draining';
    return this.slots.loading.length > 0 && this.slots.list().length === 0 ? 'loading' : 'ready';
  }

  /** Accepts a prompt or joins its stream. */
  accept(call: GenerateCall): Refusal | Stream {
    const promptSha256 = computeSha256Hex(call.prompt);
    const existing = this.hub.get(call.streamId);
    if (existing !== undefined) {
      const isSame = existing.account === call.account && existing.promptSha256 === promptSha256;
      return isSame ? existing : { status: 400, type: 'bad_request' };
    }
    const refusal = this.getRefusal(call);
    this.arrivals.add({ requestId: call.requestId, refusal: refusal?.type ?? null });
    if (refusal !== undefined) return refusal;
    this.checkGeneratedText(call);
    const stream = this.hub.add(call.streamId, call.weightVersion, call.account, promptSha256);
    this.scheduler.add(createSequence(call, stream));
    return stream;
  }

  /** Refuses new prompts and completes when all streams have been written. */
  async drain(): Promise<void> {
    this.isDraining = true;
    const endMs = processClock.nowMs() + this.options.minDrainMs;
    const isBusy = () =>
      !this.scheduler.isIdle || this.hub.countConnections() > 0 || processClock.nowMs() < endMs;
    while (isBusy()) await waitMs(DRAIN_CHECK_MS);
  }

  private getRefusal(call: GenerateCall): Refusal | undefined {
    const { refuse } = this.faults;
    if (refuse !== null) return { status: REFUSAL_STATUS[refuse], type: refuse };
    if (this.isDraining) return { status: 503, type: 'draining' };
    const slot = this.slots.get(call.model);
    const isLoading = this.slots.loading.some(({ model }) => model === call.model);
    if (slot === undefined && isLoading) return { status: 503, type: 'loading' };
    if (slot?.weightVersion !== call.weightVersion) return { status: 409, type: 'wrong_version' };
    if (call.adapter !== undefined && !slot.adapters.has(call.adapter)) {
      return { status: 400, type: 'unknown_adapter' };
    }
    if (call.blockKeys.length > Math.floor(Buffer.byteLength(call.prompt) / BLOCK_BYTES)) {
      return { status: 400, type: 'bad_request' };
    }
    return this.scheduler.isFull ? { status: 429, type: 'queue_full' } : undefined;
  }

  private checkGeneratedText(call: GenerateCall): void {
    const { generatedText } = call;
    if (generatedText === undefined) return;
    const maxTokens = generatedText.length;
    if (computeExpectedText({ ...call, maxTokens }).startsWith(generatedText)) return;
    const detail = `request ${call.requestId}`;
    addBounded(this.violations, { type: 'wrong_generated_text', detail });
  }

  private createCache(): PrefixCache {
    return PrefixCache.create(Math.ceil(this.options.cacheTokens / TOKENS_PER_BLOCK), {
      onEvicted: (keys) => this.events.add({ type: 'evicted', keys }),
      onWrongBlock: (key) =>
        addBounded(this.violations, { type: 'wrong_block', detail: `cached block ${key}` }),
    });
  }

  private createSlots(): ModelSlots {
    return ModelSlots.create(this.options, {
      onLoaded: (model, version) => this.cache.addVersion(getVersionName(model, version)),
      onDropped: (model, version) => this.cache.dropVersion(getVersionName(model, version)),
    });
  }

  private createScheduler(): EngineScheduler {
    return EngineScheduler.create({
      options: this.options,
      cache: this.cache,
      hub: this.hub,
      transfer: this.transfer,
      getFaults: () => this.faults,
      onStarted: (sequence) => addBounded(this.runs, this.formatRun(sequence)),
      onStored: (tailKey, depth) => this.events.add({ type: 'stored', tailKey, depth }),
      onWrongBlocks: (keys, { call }) => {
        const detail = `imported blocks ${keys.join(', ')} in request ${call.requestId}`;
        addBounded(this.violations, { type: 'wrong_block', detail });
      },
    });
  }

  private formatRun(sequence: Sequence): object {
    const { call, stream } = sequence;
    return {
      requestId: call.requestId,
      streamId: call.streamId,
      account: call.account,
      model: call.model,
      weightVersion: call.weightVersion,
      promptSha256: stream.promptSha256,
      promptTokens: sequence.promptTokens,
      cachedTokens: sequence.cachedDepth * TOKENS_PER_BLOCK,
      importedTokens: sequence.importedDepth * TOKENS_PER_BLOCK,
    };
  }
}
