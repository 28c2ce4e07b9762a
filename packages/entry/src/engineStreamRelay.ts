import { assertNever, createUnknownOutcomeError } from '@lovagearch/common';
import type { EngineStream, GenerateChunk } from '@lovagearch/engine-client';
import { LATE_RESUME_PAUSE_MS, MAX_LATE_RESUMES, MAX_RESUME_ATTEMPTS } from './callerConstants.js';
import type { GenerationParts, GenerationPlan } from './generationPlan.js';
import { type GenerationStart, hasLostStream, type StartedStream } from './generationStart.js';
import { waitPause } from './pause.js';
import {
  type ConnectionEnd,
  type DoneChunk,
  getFaultEnd,
  NEW_ANSWER,
  type RelayEvent,
  type RelayOrigin,
  type StepResult,
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

  private offset: number;

  private skip: number;

  private earlierText: string | undefined;

  private resumeAttempts = 0;

  private lateResumes = 0;

  private readonly closing = new AbortController();

  private isAccepted: boolean;

  private hasReportedPlacement = false;

  private hasRecordedOutput = false;

  /** Whether the end of the current stream has been reported to containment. */
  private hasRecordedEnd = false;

  private constructor(
    private readonly parts: GenerationParts,
    private readonly plan: GenerationPlan,
    private readonly starter: GenerationStart,
    private current: StartedStream,
    origin: RelayOrigin,
  ) {
    this.verifier = StreamVerifier.create(current.streamId, plan.weightVersion);
    this.offset = origin.offset;
    this.skip = origin.skip;
    this.earlierText = origin.earlierText;
    this.isAccepted = origin.isAccepted;
  }

  static create(
    parts: GenerationParts,
    plan: GenerationPlan,
    starter: GenerationStart,
    started: StartedStream,
    origin: RelayOrigin = NEW_ANSWER,
  ): EngineStreamRelay {
    return new EngineStreamRelay(parts, plan, starter, started, origin);
  }

  /** The stream being read. It keeps running on its runner after `close`. */
  get stream(): StartedStream {
    return this.current;
  }

  /** Closes the connection to the runner. `run` then ends without emitting another event. */
  close(): void {
    this.closing.abort();
    this.current.stream.close();
  }

  /**
   * Yields the events of the response. The last is `done` or `failed`, unless `close` is called.
   */
  async *run(): AsyncGenerator<RelayEvent> {
    try {
      for (;;) {
        const end = yield* this.readConnection(this.current.stream);
        const outcome = this.isClosed ? 'closed' : await this.handleEnd(end);
        if (outcome === 'closed') return;
        if (outcome !== 'again') {
          yield outcome;
          return;
        }
      }
    } finally {
      if (!this.hasRecordedEnd) this.recordEnd('other');
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

  private handleChunk(chunk: GenerateChunk): StepResult {
    if (chunk.type === 'token') return this.handleToken(chunk);
    const checked = this.verifier.checkIdentity(chunk);
    if (checked.isErr()) return getFaultEnd(checked.error, this.verifier.lastSeq);
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

  private handleToken(chunk: Extract<GenerateChunk, { type: 'token' }>): StepResult {
    // No token is forwarded before the runner has confirmed its weight version in `accepted`.
    if (!this.isAccepted) {
      return {
        type: 'move',
        reason: 'a token arrived before the stream was accepted',
        isRunnerUsable: false,
      };
    }
    const added = this.verifier.addToken(chunk);
    if (added.isErr()) return getFaultEnd(added.error, this.verifier.lastSeq);
    this.resumeAttempts = 0;
    this.lateResumes = 0;
    this.reportPlacement();
    this.recordOutput();
    if (chunk.seq <= this.skip) return { type: 'more' };
    const { runner, streamId } = this.current;
    const position = {
      runner: runner.id,
      url: runner.url,
      streamId,
      seq: chunk.seq,
      offset: this.offset,
    };
    return { type: 'more', event: { type: 'token', text: chunk.text, position } };
  }

  private handleDone(chunk: DoneChunk): StepResult {
    this.parts.directory.updateLoad(this.current.runner.id, chunk.load);
    const whole = this.verifier.checkDone(chunk);
    if (whole.isErr()) return getFaultEnd(whole.error, this.verifier.lastSeq);
    // Another node may have cancelled the stream after its caller disconnected from that node and
    // before it reconnected to this one.
    if (chunk.finishReason === 'cancelled') {
      return { type: 'move', reason: 'the stream was cancelled', isRunnerUsable: true };
    }
    if (chunk.usage.importedTokens > 0) this.reportImport();
    return { type: 'completed', chunk };
  }

  private async handleEnd(end: ConnectionEnd): Promise<'again' | 'closed' | RelayEvent> {
    switch (end.type) {
      case 'closed':
        return 'closed';
      case 'completed':
        this.recordEnd('completed');
        return this.createDone(end.chunk);
      case 'failed':
        this.recordEnd('other');
        await this.cancelCurrent();
        return this.createLost(end.reason);
      case 'reconnect':
        return this.reconnect(end.reason);
      case 'move':
        this.recordEnd('other');
        await this.cancelCurrent();
        if (!end.isRunnerUsable) this.starter.addExcluded(this.current.runner.id);
        return this.continueElsewhere(end.reason, false);
      default:
        return assertNever(end);
    }
  }

  private async reconnect(reason: string): Promise<'again' | 'closed' | RelayEvent> {
    const { parts, plan, current } = this;
    let isGone = false;
    let hasCrashed = false;
    while (!isGone && this.resumeAttempts < MAX_RESUME_ATTEMPTS) {
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
      isGone = hasLostStream(resumed.error) || resumed.error.type === 'refused';
      hasCrashed = hasLostStream(resumed.error);
    }
    parts.directory.reportFailure(current.runner.id);
    this.recordEnd(hasCrashed ? 'crashed' : 'other');
    this.starter.addExcluded(current.runner.id);
    return this.continueElsewhere(reason, !isGone);
  }

  private async continueElsewhere(
    reason: string,
    isStreamAlive: boolean,
  ): Promise<'again' | 'closed' | RelayEvent> {
    const { parts, plan, verifier } = this;
    // Another runner needs the complete text so far. It may generate different text in place of a
    // part that the caller has received but this node has not.
    if (this.earlierText === undefined || verifier.lastSeq < this.skip) {
      return this.createLost('the runner failed and this node lacks the text generated before');
    }
    const text = this.earlierText + verifier.text;
    const tokens = this.offset + verifier.lastSeq;
    if (tokens >= plan.maxTokens) return this.createLengthDone(tokens);
    parts.decisions.record(plan.requestId, {
      type: 'retried',
      endpoint: this.current.runner.id,
      reason,
    });
    if (verifier.lastSeq > 0) this.starter.recordProgress(this.current.runner.id);
    const started = await this.starter.start({ text, tokens });
    if (started.isErr()) {
      if (isStreamAlive && this.lateResumes < MAX_LATE_RESUMES) return this.resumeLate(reason);
      return tokens === 0
        ? {
            type: 'failed',
            error: createUnknownOutcomeError('endpoint_failed', started.error.message),
          }
        : this.createLost('the runner failed and no other runner could continue the response');
    }
    this.current = started.value;
    this.offset = tokens;
    this.skip = 0;
    this.earlierText = text;
    this.isAccepted = false;
    this.hasReportedPlacement = false;
    this.hasRecordedOutput = false;
    this.hasRecordedEnd = false;
    this.resumeAttempts = 0;
    this.verifier = StreamVerifier.create(started.value.streamId, plan.weightVersion);
    const endpoint = started.value.runner.id;
    parts.decisions.record(plan.requestId, { type: 'continued', endpoint, offset: tokens });
    if (!this.isClosed) return 'again';
    started.value.stream.close();
    return 'closed';
  }

  /** Retries the same stream after an exponential delay, in case its runner recovers. */
  private async resumeLate(reason: string): Promise<'again' | 'closed' | RelayEvent> {
    await waitPause(LATE_RESUME_PAUSE_MS * 2 ** this.lateResumes, this.closing.signal);
    if (this.isClosed) return 'closed';
    this.lateResumes += 1;
    this.resumeAttempts = MAX_RESUME_ATTEMPTS - 1;
    return this.reconnect(reason);
  }

  private get isClosed(): boolean {
    return this.closing.signal.aborted;
  }

  private reportPlacement(): void {
    const { chain, account } = this.plan;
    const tailKey = chain[chain.length - 1];
    if (this.hasReportedPlacement || tailKey === undefined) return;
    this.hasReportedPlacement = true;
    const { runner, reusedDepth } = this.current;
    const { id, region, boot } = runner;
    if (region === undefined) return;
    const depth = chain.length;
    const location = {
      kind: 'runner',
      holder: id,
      region,
      depth,
      tailKey,
      sha256: '',
      boot,
    } as const;
    this.parts.index.reportPlacement(chain, location, account, reusedDepth);
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

  private recordEnd(outcome: 'completed' | 'crashed' | 'other'): void {
    this.hasRecordedEnd = true;
    const { runner } = this.current;
    this.parts.containment.recordEnd(runner.id, this.plan.fingerprint, outcome);
  }

  private async cancelCurrent(): Promise<void> {
    // A failed cancellation is ignored: the stream then runs to completion on its runner.
    await this.parts.engines.cancel(this.current.address, this.current.streamId);
  }

  private createDone({ finishReason, usage }: DoneChunk): RelayEvent {
    const { cachedTokens, importedTokens, completionTokens } = usage;
    this.parts.decisions.record(this.plan.requestId, {
      type: 'verified',
      streamId: this.current.streamId,
      tokens: this.offset + completionTokens,
      cachedTokens,
      importedTokens,
    });
    return {
      type: 'done',
      finishReason: finishReason === 'length' ? 'length' : 'stop',
      usage: { ...usage, completionTokens: this.offset + completionTokens },
    };
  }

  private createLengthDone(tokens: number): RelayEvent {
    const { promptTokens, requestId } = this.plan;
    const { streamId } = this.current;
    const reused = { cachedTokens: 0, importedTokens: 0 };
    this.parts.decisions.record(requestId, { type: 'verified', streamId, tokens, ...reused });
    const usage = { promptTokens, cachedTokens: 0, importedTokens: 0, completionTokens: tokens };
    return { type: 'done', finishReason: 'length', usage };
  }

  private createLost(reason: string): RelayEvent {
    return { type: 'failed', error: createUnknownOutcomeError('stream_lost', reason) };
  }
}
