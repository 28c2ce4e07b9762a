import {
  assertNever,
  type CallerError,
  createId,
  createNotRunError,
  createUnknownOutcomeError,
  type EndpointId,
  type StreamId,
} from '@lovagearch/common';
import type {
  EngineAddress,
  EngineError,
  EngineStream,
  GenerateRequest,
  KvSource,
} from '@lovagearch/engine-client';
import { err, ok, type Result } from 'neverthrow';
import { MAX_GENERATE_ATTEMPTS, RETRY_AFTER_MS, SEGMENT_TAG_DIGITS } from './callerConstants.js';
import {
  ENGINE_PRIORITY,
  type GenerationParts,
  type GenerationPlan,
  toEngineAddress,
} from './generationPlan.js';
import type { RunnerChoice } from './runnerSelection.js';
import type { EndpointView } from './types.js';

/** The runner of a stream; `region` and `boot` are not known of a runner that a token names. */
export type StreamRunner = Pick<EndpointView, 'boot' | 'id' | 'url'> & {
  readonly region: EndpointView['region'] | undefined;
};

/** A stream that a runner has accepted. */
export interface StartedStream {
  readonly runner: StreamRunner;
  readonly address: EngineAddress;
  readonly streamId: StreamId;
  readonly stream: EngineStream;
  /** Blocks of the prompt that were expected to be reused from a cache. */
  readonly reusedDepth: number;
  /** Segment that the runner was told to import; undefined for none. */
  readonly segmentId: string | undefined;
}

/** The part of an answer that earlier streams produced. */
export interface GeneratedPart {
  readonly text: string;
  readonly tokens: number;
}

interface StartFailure {
  readonly error: EngineError;
  /** Whether the runner died while it may have been running the request. */
  readonly hasCrashed: boolean;
}

/** Whether an answer to a resume shows that the runner died or restarted. */
export const hasLostStream = (error: EngineError): boolean =>
  error.type === 'not_connected' || (error.type === 'refused' && error.reason === 'unknown_stream');

const isProvenNotRun = (error: EngineError): boolean =>
  error.type === 'refused' || error.type === 'not_connected';

const EMPTY_PART: GeneratedPart = { text: '', tokens: 0 };

/** Returns a description of an engine error for logs and decisions; it holds no caller data. */
export const formatEngineError = (error: EngineError): string =>
  error.type === 'refused' ? `refused ${error.status} ${error.reason}` : error.type;

/** Names a segment by the start of its id; the whole id would identify a prompt. */
const formatSegment = ({ segmentId, depth }: KvSource) => ({
  tag: segmentId.slice(0, SEGMENT_TAG_DIGITS),
  depth,
});

/**
 * Starts a generation on a runner. It tries other runners while that is allowed: each further
 * attempt takes one from the retry budget, and attempts are bounded. One instance serves one
 * request; it remembers which runners failed.
 */
export class GenerationStart {
  private readonly excluded = new Set<EndpointId>();

  private attempts = 0;

  private hasUnknownOutcome = false;

  private swapped: EndpointId | undefined;

  private lastError: EngineError | undefined;

  private constructor(
    private readonly parts: GenerationParts,
    private readonly plan: GenerationPlan,
  ) {}

  static create(parts: GenerationParts, plan: GenerationPlan): GenerationStart {
    return new GenerationStart(parts, plan);
  }

  /** The last runner that refused the weight version, which it no longer holds. */
  get swappedRunner(): EndpointId | undefined {
    return this.swapped;
  }

  /** Keeps a runner from getting this request again. */
  addExcluded(runner: EndpointId): void {
    this.excluded.add(runner);
  }

  /**
   * Records that a stream made progress before it was lost. The attempts are counted anew, so that
   * a long answer outlives several faults; the retry budget still limits them.
   *
   * @param lost the runner of that stream
   */
  recordProgress(lost: EndpointId): void {
    this.attempts = 1;
    const isLostExcluded = this.excluded.has(lost);
    this.excluded.clear();
    if (isLostExcluded) this.excluded.add(lost);
  }

  /**
   * Starts a stream, or continues an answer on a new one.
   *
   * @param generated what earlier streams of this answer produced
   * @returns the accepted stream; the error says `not_run` only if every runner provably refused
   */
  async start(generated: GeneratedPart = EMPTY_PART): Promise<Result<StartedStream, CallerError>> {
    for (;;) {
      if (!this.takeAttempt()) return err(this.createError());
      // An earlier attempt may have made the request a suspect.
      const contained = this.parts.containment.check(this.plan.fingerprint);
      if (contained.type === 'quarantined') return err(this.toAttemptError(contained.error));
      const onlyOn = contained.type === 'only_on' ? contained.endpoint : undefined;
      const choice = await this.parts.selection.choose(
        { ...this.plan, excluded: this.excluded, onlyOn },
        this.plan.locations,
      );
      if (choice === undefined) return err(this.createError());
      const started = await this.tryRunner(choice, generated);
      if (started.isOk()) return ok(started.value);
      this.recordFailure(choice.runner.id, started.error);
      if (this.swapped === choice.runner.id) {
        // The view is from before the swap; later requests need the correction as well.
        await this.parts.directory.verifyFresh(choice.runner.id);
      }
    }
  }

  private takeAttempt(): boolean {
    if (this.attempts >= MAX_GENERATE_ATTEMPTS) return false;
    if (this.attempts > 0 && !this.parts.admission.tryTakeRetry(this.plan.account)) return false;
    this.attempts += 1;
    return true;
  }

  private async tryRunner(
    choice: RunnerChoice,
    generated: GeneratedPart,
  ): Promise<Result<StartedStream, StartFailure>> {
    const { parts, plan } = this;
    const { runner, reusedDepth, kvSource } = choice;
    const segmentId = kvSource?.segmentId;
    const address = toEngineAddress(parts, plan.service, runner);
    const streamId = createId<StreamId>('stream');
    this.recordChoice(choice, streamId);
    parts.containment.recordStart(runner.id, plan.fingerprint);
    const request = this.createRequest(choice, streamId, generated);
    const sent = await parts.engines.generate(address, request);
    const started = { runner, address, streamId, reusedDepth, segmentId };
    if (sent.isOk()) return ok({ ...started, stream: sent.value });
    const { error } = sent;
    if (isProvenNotRun(error)) return err({ error, hasCrashed: false });
    this.hasUnknownOutcome = true;
    // The runner may have accepted the stream although its answer was lost. The prompt is not sent
    // again before containment knows whether the runner crashed.
    const joined = await parts.engines.resume(address, streamId, 0);
    if (joined.isOk()) return ok({ ...started, stream: joined.value });
    return err({ error, hasCrashed: hasLostStream(joined.error) });
  }

  private createRequest(
    choice: RunnerChoice,
    streamId: StreamId,
    generated: GeneratedPart,
  ): GenerateRequest {
    const { plan } = this;
    return {
      requestId: plan.requestId,
      streamId,
      account: plan.account,
      model: plan.model,
      weightVersion: plan.weightVersion,
      prompt: plan.prompt,
      blockKeys: [...plan.chain],
      priority: ENGINE_PRIORITY[plan.requestClass],
      maxTokens: plan.maxTokens - generated.tokens,
      seed: plan.seed,
      ...(generated.tokens === 0 ? {} : { generatedText: generated.text }),
      ...(choice.kvSource === undefined ? {} : { kvSource: choice.kvSource }),
    };
  }

  private recordChoice(choice: RunnerChoice, streamId: StreamId): void {
    const { kvSource } = choice;
    this.parts.decisions.record(this.plan.requestId, {
      type: 'chosen',
      endpoint: choice.runner.id,
      streamId,
      estimatedTtftMs: Math.round(choice.estimatedTtftMs),
      estimatedRecomputedTokens: choice.estimatedRecomputedTokens,
      weightVersion: this.plan.weightVersion,
      ...(kvSource === undefined ? {} : { segment: formatSegment(kvSource) }),
      reason: choice.reason,
    });
  }

  private recordFailure(runner: EndpointId, { error, hasCrashed }: StartFailure): void {
    const { parts, plan } = this;
    this.lastError = error;
    this.excluded.add(runner);
    const reason = formatEngineError(error);
    parts.log.warn(`Runner ${runner} did not take request ${plan.requestId}: ${reason}.`);
    parts.decisions.record(plan.requestId, { type: 'retried', endpoint: runner, reason });
    parts.containment.recordEnd(runner, plan.fingerprint, hasCrashed ? 'crashed' : 'other');
    switch (error.type) {
      case 'refused':
        if (error.load !== undefined) parts.directory.updateLoad(runner, error.load);
        if (error.reason === 'wrong_version') this.swapped = runner;
        if (error.reason === 'draining') parts.directory.markLeaving(runner);
        return;
      case 'not_connected':
      case 'connection_lost':
      case 'silent':
        parts.directory.reportFailure(runner);
        return;
      case 'protocol_violation':
        return;
      default:
        assertNever(error);
    }
  }

  private toAttemptError(error: CallerError): CallerError {
    return this.hasUnknownOutcome ? { ...error, run: 'unknown' } : error;
  }

  private createError(): CallerError {
    if (this.hasUnknownOutcome) {
      return createUnknownOutcomeError(
        'endpoint_failed',
        'the runner failed and no other could answer',
      );
    }
    if (this.lastError?.type === 'refused' && this.lastError.reason === 'queue_full') {
      return createNotRunError('overloaded', 'the runners are at capacity', RETRY_AFTER_MS);
    }
    const message =
      this.swapped === undefined
        ? `no runner is ready for model ${this.plan.model}`
        : `the runners of model ${this.plan.model} are changing weights`;
    return createNotRunError('no_endpoint', message, RETRY_AFTER_MS);
  }
}
