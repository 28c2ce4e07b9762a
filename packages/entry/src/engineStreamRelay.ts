import { assertNever, createUnknownOutcomeError } from '@lovagearch/common';
import type { EngineStream, GenerateChunk } from '@lovagearch/engine-client';
import {
  FIRST_RESUME_DELAY_MS,
  MAX_DELAYED_RESUMES,
  MAX_RESUME_ATTEMPTS,
} from './callerConstants.js';
import type { GenerationParts, GenerationPlan } from './generationPlan.js';
import { type GenerationStarter, hasLostStream, type StartedStream } from './generationStarter.js';
import { sleepUnlessAborted } from './abortableSleep.js';
import {
  type ConnectionEnd,
  type DoneChunk,
  classifyIntegrityError,
  START_OF_RESPONSE,
  type RelayEvent,
  type RelayOrigin,
  type ChunkResult,
} from './relayEvents.js';
import { StreamVerifier } from './streamVerifier.js';

/**
 * Relays a response from runners to one consumer. If a connection is lost or silent, the relay
 * resumes the stream on a new connection; if the runner has failed, it continues the response on
 * another runner with the same weight version. It never emits a token twice, and emits `done` only
 * after verifying the complete text.
 */
export class EngineStreamRelay {
  private verifier: StreamVerifier;

  private earlierTokens: number;

  private deliveredSeq: number;

  private earlierText: string | undefined;

  private resumeAttempts = 0;

  private lateResumes = 0;

  private readonly closeController = new AbortController();

  private isAccepted: boolean;

  private hasReportedPlacement = false;

  private hasRecordedOutput = false;

  /** Whether the end of the current stream has been reported to containment. */
  private hasRecordedStreamEnd = false;

  private constructor(
    private readonly parts: GenerationParts,
    private readonly plan: GenerationPlan,
    private readonly starter: GenerationStarter,
    private current: StartedStream,
    origin: RelayOrigin,
  ) {
    this.verifier = StreamVerifier.create(current.streamId, plan.weightVersion);
    this.earlierTokens = origin.offset;
    this.deliveredSeq = origin.deliveredSeq;
    this.earlierText = origin.earlierText;
    this.isAccepted = origin.isAccepted;
  }

  static create(
    parts: GenerationParts,
    plan: GenerationPlan,
    starter: GenerationStarter,
    started: StartedStream,
    origin: RelayOrigin = START_OF_RESPONSE,
  ): EngineStreamRelay {
    return new EngineStreamRelay(parts, plan, starter, started, origin);
  }

  /** The stream being read. It keeps running on its runner after `close`. */
  get stream(): StartedStream {
    return this.current;
  }

  /** Closes the connection to the runner. `run` then ends without emitting another event. */
  close(): void {
    this.closeController.abort();
    this.current.stream.close();
  }

  /**
   * Yields the events of the response. The last is `done` or `failed`, unless `close` is called.
   */
  async *run(): AsyncGenerator<RelayEvent> {
    try {
      for (;;) {
        const end = yield* this.readConnection(this.current.stream);
        const outcome = this.isClosed ? 'closed' : await this.handleConnectionEnd(end);
        if (outcome === 'closed') return;
        if (outcome !== 'again') {
          yield outcome;
          return;
        }
      }
    } finally {
      if (!this.hasRecordedStreamEnd) this.recordStreamEnd('other');
    }
  }

  private async *readConnection(stream: EngineStream): AsyncGenerator<RelayEvent, ConnectionEnd> {
    for await (const chunk of stream.chunks) {
      if (this.isClosed) return { type: 'closed' };
      const step =
        chunk.type === 'failed'
          ? ({ type: 'reconnect', reason: chunk.error.type } as const)
          : this.handleChunk(chunk);
      if (step.type !== 'more') {
        stream.close();
        return step;
      }
      if (step.event !== undefined) yield step.event;
    }
    return { type: 'reconnect', reason: 'the connection closed before the final chunk' };
  }

  private handleChunk(chunk: GenerateChunk): ChunkResult {
    if (chunk.type === 'token') return this.handleToken(chunk);
    const checked = this.verifier.checkIdentity(chunk);
    if (checked.isErr()) return classifyIntegrityError(checked.error, this.verifier.lastSeq);
    switch (chunk.type) {
      case 'accepted':
        this.isAccepted = true;
        this.parts.directory.updateLoad(this.current.runner.id, chunk.load);
        return { type: 'more' };
      case 'heartbeat':
        this.parts.directory.updateLoad(this.current.runner.id, chunk.load);
        return { type: 'more' };
      case 'error':
        return { type: 'move', reason: `engine error ${chunk.error.type}`, isRunnerUsable: false };
      case 'done':
        return this.handleDone(chunk);
      default:
        return assertNever(chunk);
    }
  }

  private handleToken(chunk: Extract<GenerateChunk, { type: 'token' }>): ChunkResult {
    // No token is forwarded before the runner has confirmed its weight version in `accepted`.
    if (!this.isAccepted) {
      return {
        type: 'move',
        reason: 'a token arrived before the stream was accepted',
        isRunnerUsable: false,
      };
    }
    const added = this.verifier.addToken(chunk);
    if (added.isErr()) return classifyIntegrityError(added.error, this.verifier.lastSeq);
    this.resumeAttempts = 0;
    this.lateResumes = 0;
    this.reportPlacement();
    this.recordOutput();
    if (chunk.seq <= this.deliveredSeq) return { type: 'more' };
    const { runner, streamId } = this.current;
    const position = {
      runner: runner.id,
      url: runner.url,
      streamId,
      seq: chunk.seq,
      offset: this.earlierTokens,
    };
    return { type: 'more', event: { type: 'token', text: chunk.text, position } };
  }

  private handleDone(chunk: DoneChunk): ChunkResult {
    this.parts.directory.updateLoad(this.current.runner.id, chunk.load);
    const verified = this.verifier.checkDone(chunk);
    if (verified.isErr()) return classifyIntegrityError(verified.error, this.verifier.lastSeq);
    // Another node may have cancelled the stream after its caller disconnected from that node and
    // before it reconnected to this one.
    if (chunk.finishReason === 'cancelled') {
      return { type: 'move', reason: 'the stream was cancelled', isRunnerUsable: true };
    }
    if (chunk.usage.importedTokens > 0) this.reportImport();
    return { type: 'completed', chunk };
  }

  private async handleConnectionEnd(end: ConnectionEnd): Promise<'again' | 'closed' | RelayEvent> {
    switch (end.type) {
      case 'closed':
        return 'closed';
      case 'completed':
        this.recordStreamEnd('completed');
        return this.createDoneEvent(end.chunk);
      case 'failed':
        this.recordStreamEnd('other');
        await this.cancelCurrentStream();
        return this.createStreamLostEvent(end.reason);
      case 'reconnect':
        return this.reconnect(end.reason);
      case 'move':
        this.recordStreamEnd('other');
        await this.cancelCurrentStream();
        if (!end.isRunnerUsable) this.starter.excludeRunner(this.current.runner.id);
        return this.continueOnAnotherRunner(end.reason, false);
      default:
        return assertNever(end);
    }
  }

  private async reconnect(reason: string): Promise<'again' | 'closed' | RelayEvent> {
    const { parts, plan, current } = this;
    let isStreamGone = false;
    let hasCrashed = false;
    while (!isStreamGone && this.resumeAttempts < MAX_RESUME_ATTEMPTS) {
      this.resumeAttempts += 1;
      const afterSeq = this.verifier.lastSeq;
      const resumed = await parts.engines.resume(current.address, current.streamId, afterSeq);
      if (this.isClosed) {
        if (resumed.isOk()) resumed.value.close();
        return 'closed';
      }
      if (resumed.isOk()) {
        const { id } = current.runner;
        parts.log.info(`Resumed a stream of ${plan.requestId} on ${id}: ${reason}.`);
        parts.decisions.record(plan.requestId, {
          type: 'resumed',
          endpoint: id,
          streamId: current.streamId,
          afterSeq,
        });
        this.current = { ...current, stream: resumed.value };
        return 'again';
      }
      isStreamGone = hasLostStream(resumed.error) || resumed.error.type === 'refused';
      hasCrashed = hasLostStream(resumed.error);
    }
    parts.directory.reportFailure(current.runner.id);
    this.recordStreamEnd(hasCrashed ? 'crashed' : 'other');
    this.starter.excludeRunner(current.runner.id);
    return this.continueOnAnotherRunner(reason, !isStreamGone);
  }

  private async continueOnAnotherRunner(
    reason: string,
    isStreamAlive: boolean,
  ): Promise<'again' | 'closed' | RelayEvent> {
    const { parts, plan, verifier } = this;
    // Another runner needs the complete text so far. It may generate different text in place of a
    // part that the caller has received but this node has not.
    if (this.earlierText === undefined || verifier.lastSeq < this.deliveredSeq) {
      return this.createStreamLostEvent(
        'the runner failed and this node lacks the text generated before',
      );
    }
    const text = this.earlierText + verifier.text;
    const tokens = this.earlierTokens + verifier.lastSeq;
    if (tokens >= plan.maxTokens) return this.createLengthLimitEvent(tokens);
    parts.decisions.record(plan.requestId, {
      type: 'retried',
      endpoint: this.current.runner.id,
      reason,
    });
    if (verifier.lastSeq > 0) this.starter.recordProgress(this.current.runner.id);
    const started = await this.starter.start({ text, tokens });
    if (started.isErr()) {
      if (isStreamAlive && this.lateResumes < MAX_DELAYED_RESUMES)
        return this.resumeAfterDelay(reason);
      return tokens === 0
        ? {
            type: 'failed',
            error: createUnknownOutcomeError('endpoint_failed', started.error.message),
          }
        : this.createStreamLostEvent(
            'the runner failed and no other runner could continue the response',
          );
    }
    this.current = started.value;
    this.earlierTokens = tokens;
    this.deliveredSeq = 0;
    this.earlierText = text;
    this.isAccepted = false;
    this.hasReportedPlacement = false;
    this.hasRecordedOutput = false;
    this.hasRecordedStreamEnd = false;
    this.resumeAttempts = 0;
    this.verifier = StreamVerifier.create(started.value.streamId, plan.weightVersion);
    const endpoint = started.value.runner.id;
    parts.decisions.record(plan.requestId, { type: 'continued', endpoint, offset: tokens });
    if (!this.isClosed) return 'again';
    started.value.stream.close();
    return 'closed';
  }

  /** Retries the same stream after an exponential delay, in case its runner recovers. */
  private async resumeAfterDelay(reason: string): Promise<'again' | 'closed' | RelayEvent> {
    await sleepUnlessAborted(
      FIRST_RESUME_DELAY_MS * 2 ** this.lateResumes,
      this.closeController.signal,
    );
    if (this.isClosed) return 'closed';
    this.lateResumes += 1;
    this.resumeAttempts = MAX_RESUME_ATTEMPTS - 1;
    return this.reconnect(reason);
  }

  private get isClosed(): boolean {
    return this.closeController.signal.aborted;
  }

  private reportPlacement(): void {
    const { blockKeys, account } = this.plan;
    const tailKey = blockKeys[blockKeys.length - 1];
    if (this.hasReportedPlacement || tailKey === undefined) return;
    this.hasReportedPlacement = true;
    const { runner, reusedDepth } = this.current;
    const { id, region, boot } = runner;
    if (region === undefined) return;
    const depth = blockKeys.length;
    const location = {
      kind: 'runner',
      holder: id,
      region,
      depth,
      tailKey,
      sha256: '',
      boot,
    } as const;
    this.parts.index.reportPlacement(blockKeys, location, account, reusedDepth);
  }

  /** Reports a segment import to the nodes that watch its store VM, so that the segment is kept. */
  private reportImport(): void {
    const { segmentId } = this.current;
    const source = this.plan.locations.find(
      ({ kind, tailKey }) => kind === 'store' && tailKey === segmentId,
    );
    if (source !== undefined) this.parts.index.reportImport(source.holder, source.tailKey);
  }

  private recordOutput(): void {
    if (this.hasRecordedOutput) return;
    this.hasRecordedOutput = true;
    this.parts.containment.recordOutput(this.current.runner.id, this.plan.fingerprint);
  }

  private recordStreamEnd(outcome: 'completed' | 'crashed' | 'other'): void {
    this.hasRecordedStreamEnd = true;
    const { runner } = this.current;
    this.parts.containment.recordEnd(runner.id, this.plan.fingerprint, outcome);
  }

  private async cancelCurrentStream(): Promise<void> {
    // A failed cancellation is ignored: the stream then runs to completion on its runner.
    await this.parts.engines.cancel(this.current.address, this.current.streamId);
  }

  private createDoneEvent({ finishReason, usage }: DoneChunk): RelayEvent {
    const { cachedTokens, importedTokens, completionTokens } = usage;
    this.parts.decisions.record(this.plan.requestId, {
      type: 'verified',
      streamId: this.current.streamId,
      tokens: this.earlierTokens + completionTokens,
      cachedTokens,
      importedTokens,
    });
    return {
      type: 'done',
      finishReason: finishReason === 'length' ? 'length' : 'stop',
      usage: { ...usage, completionTokens: this.earlierTokens + completionTokens },
    };
  }

  private createLengthLimitEvent(tokens: number): RelayEvent {
    const { promptTokens, requestId } = this.plan;
    const { streamId } = this.current;
    const reused = { cachedTokens: 0, importedTokens: 0 };
    this.parts.decisions.record(requestId, { type: 'verified', streamId, tokens, ...reused });
    const usage = { promptTokens, cachedTokens: 0, importedTokens: 0, completionTokens: tokens };
    return { type: 'done', finishReason: 'length', usage };
  }

  private createStreamLostEvent(reason: string): RelayEvent {
    return { type: 'failed', error: createUnknownOutcomeError('stream_lost', reason) };
  }
}
