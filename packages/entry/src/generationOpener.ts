import { setTimeout as waitMs } from 'node:timers/promises';
import {
  type CallerError,
  createNotRunError,
  createUnknownOutcomeError,
  type EndpointId,
  type RequestId,
  type StreamId,
  toId,
  type WeightVersion,
} from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import type { AbandonedStreams } from './abandonedStreams.js';
import type { CallerAccount, CallerConfiguration } from './callerConfiguration.js';
import { NO_RUNNER_REPLAN_DELAY_MS } from './callerConstants.js';
import { ReplanLimit } from './replanLimit.js';
import { type CompletionRequest, getQueueDeadlineMs } from './completionRequest.js';
import { EngineStreamRelay } from './engineStreamRelay.js';
import { type GenerationParts, type GenerationPlan, toEngineAddress } from './generationPlan.js';
import {
  buildDraft,
  computePromptHash,
  findPermittedModel,
  type GenerationDraft,
} from './generationPreparation.js';
import { formatEngineError, GenerationStarter, type StartedStream } from './generationStarter.js';
import type { ResumePosition, ResumeTokenCodec } from './resumeTokenCodec.js';
import type { AdmissionTicket } from './types.js';

/** Identity, account and arrival time of one request. */
export interface CallerContext {
  readonly requestId: RequestId;
  readonly account: CallerAccount;
  /** Clock reading at which the request arrived. */
  readonly arrivedAtMs: number;
}

/** A generation that a runner has accepted. The owner must call `ticket.release`. */
export interface OpenedGeneration {
  readonly plan: GenerationPlan;
  readonly relay: EngineStreamRelay;
  readonly ticket: AdmissionTicket;
}

/**
 * Opens generations: validates and admits requests, then starts or resumes a stream on a runner.
 */
export class GenerationOpener {
  private constructor(
    private readonly parts: GenerationParts,
    private readonly configuration: CallerConfiguration,
    private readonly resumeTokens: ResumeTokenCodec,
    private readonly abandonedStreams: AbandonedStreams,
  ) {}

  static create(
    parts: GenerationParts,
    configuration: CallerConfiguration,
    resumeTokens: ResumeTokenCodec,
    abandoned: AbandonedStreams,
  ): GenerationOpener {
    return new GenerationOpener(parts, configuration, resumeTokens, abandoned);
  }

  /**
   * Opens a new generation. Permissions, quarantine and admission are checked before a runner call.
   */
  async open(
    context: CallerContext,
    request: CompletionRequest,
  ): Promise<Result<OpenedGeneration, CallerError>> {
    const permitted = findPermittedModel(this.configuration, context.account, request.model);
    if (permitted.isErr()) return err(permitted.error);
    const draft = buildDraft(context.requestId, context.account, permitted.value, request);
    const contained = this.checkContainment(draft);
    if (contained.isErr()) return err(contained.error);
    const admitted = await this.admit(draft, request, draft.promptTokens);
    if (admitted.isErr()) return err(admitted.error);
    const ticket = admitted.value;
    try {
      return await this.startGeneration(context, request, draft, ticket);
    } catch (error) {
      ticket.release();
      throw error;
    }
  }

  /** Resumes the stream that a resume token identifies, no matter which node issued the token. */
  async resume(
    context: CallerContext,
    request: CompletionRequest,
    lastEventId: string,
  ): Promise<Result<OpenedGeneration, CallerError>> {
    const decoded = this.resumeTokens.decode(lastEventId);
    if (decoded.isErr()) return err(decoded.error);
    const position = decoded.value;
    const permitted = findPermittedModel(this.configuration, context.account, request.model);
    if (permitted.isErr()) return err(permitted.error);
    if (
      position.account !== context.account.id ||
      position.model !== permitted.value.model.id ||
      position.promptHash !== computePromptHash(request.prompt)
    ) {
      return err(
        createNotRunError('resume_invalid', 'Last-Event-ID was issued for another request'),
      );
    }
    // The response keeps its original weight version, even after a weight swap.
    const model = {
      ...permitted.value.model,
      weightVersion: toId<WeightVersion>(position.weightVersion),
    };
    const draft = buildDraft(
      context.requestId,
      context.account,
      { ...permitted.value, model },
      request,
    );
    const contained = this.checkContainment(draft);
    if (contained.isErr()) return err(contained.error);
    // The prompt tokens were already charged when the original request was admitted.
    const admitted = await this.admit(draft, request, 0);
    if (admitted.isErr()) return err(admitted.error);
    const plan = { ...draft, locations: [] };
    const joined = await this.resumeStream(plan, position);
    if (joined.isErr()) {
      admitted.value.release();
      return err(joined.error);
    }
    return ok({ plan, relay: joined.value, ticket: admitted.value });
  }

  private async startGeneration(
    context: CallerContext,
    request: CompletionRequest,
    admitted: GenerationDraft,
    ticket: AdmissionTicket,
    replanLimit = new ReplanLimit(),
  ): Promise<Result<OpenedGeneration, CallerError>> {
    const draft = this.refreshDraft(context, request, admitted);
    const locations = await this.parts.selection.findLocations(draft.blockKeys);
    const plan = { ...draft, locations };
    const starter = GenerationStarter.create(this.parts, plan);
    const started = await starter.start();
    if (started.isErr()) {
      const { error } = started;
      if (await this.tryReplan(plan, starter, error, replanLimit)) {
        return this.startGeneration(context, request, admitted, ticket, replanLimit);
      }
      ticket.release();
      return err(error);
    }
    const relay = EngineStreamRelay.create(this.parts, plan, starter, started.value);
    return ok({ plan, relay, ticket });
  }

  /** Rebuilds the draft if a weight swap took effect while the request was queued. */
  private refreshDraft(
    context: CallerContext,
    request: CompletionRequest,
    admitted: GenerationDraft,
  ): GenerationDraft {
    const permitted = findPermittedModel(this.configuration, context.account, request.model);
    if (permitted.isErr()) return admitted;
    const { model, service } = permitted.value;
    const isSame =
      service.id === admitted.service.id && model.weightVersion === admitted.weightVersion;
    // Rebuilding hashes the keys of all blocks, so the draft is reused if the version is the same.
    return isSame
      ? { ...admitted, service }
      : buildDraft(context.requestId, context.account, permitted.value, request);
  }

  /**
   * Decides whether a request that no runner accepted is planned again with a new choice of weight
   * version and runner, and waits first if no runner was ready. This requires proof that nothing
   * ran, and a reason why another choice may succeed: either a runner refused a weight version that
   * was swapped out, or no runner was ready.
   */
  private async tryReplan(
    plan: GenerationPlan,
    starter: GenerationStarter,
    error: CallerError,
    limit: ReplanLimit,
  ): Promise<boolean> {
    const { admission, decisions } = this.parts;
    if (error.run !== 'not_run') return false;
    const { swappedRunner } = starter;
    if (swappedRunner !== undefined) {
      if (!limit.tryTakeSwapReplan() || !admission.tryTakeRetry(plan.account)) return false;
      const reason = 'the weight version was swapped';
      decisions.record(plan.requestId, { type: 'replanned', reason });
      return true;
    }
    // No request was sent, so this doesn't consume the retry budget.
    if (error.type !== 'no_endpoint' || !limit.tryTakeNoRunnerReplan()) return false;
    await waitMs(NO_RUNNER_REPLAN_DELAY_MS);
    decisions.record(plan.requestId, { type: 'replanned', reason: 'no runner was ready' });
    return true;
  }

  private checkContainment(draft: GenerationDraft): Result<void, CallerError> {
    const check = this.parts.containment.check(draft.fingerprint);
    return check.type === 'quarantined' ? err(check.error) : ok();
  }

  private async admit(
    draft: GenerationDraft,
    request: CompletionRequest,
    promptTokens: number,
  ): Promise<Result<AdmissionTicket, CallerError>> {
    const { requestId, account, service, requestClass } = draft;
    this.parts.decisions.record(requestId, { type: 'accepted', account, service: service.id });
    return this.parts.admission.admit({
      requestId,
      account,
      service: service.id,
      requestClass,
      promptTokens,
      deadlineMs: getQueueDeadlineMs(request, requestClass),
    });
  }

  private async resumeStream(
    plan: GenerationPlan,
    position: ResumePosition,
  ): Promise<Result<EngineStreamRelay, CallerError>> {
    const { parts } = this;
    const { streamId, seq, offset } = position;
    this.abandonedStreams.remove(streamId);
    const runner = this.resolveRunner(plan, position);
    const address = toEngineAddress(parts, plan.service, runner);
    // The checksum covers the whole stream, so the stream is read from the beginning.
    const joined = await parts.engines.resume(address, streamId, 0);
    if (joined.isErr()) {
      const reason = formatEngineError(joined.error);
      parts.log.info(`Failed to resume a stream on ${runner.id} for ${plan.requestId}: ${reason}.`);
      return err(createUnknownOutcomeError('stream_lost', 'the stream is no longer available'));
    }
    const afterSeq = seq;
    parts.decisions.record(plan.requestId, {
      type: 'resumed',
      endpoint: runner.id,
      streamId,
      afterSeq,
    });
    parts.containment.recordStart(runner.id, plan.fingerprint);
    const started = {
      runner,
      address,
      streamId: toId<StreamId>(streamId),
      stream: joined.value,
      reusedDepth: 0,
      segmentId: undefined,
    };
    const starter = GenerationStarter.create(parts, plan);
    // The text of earlier streams isn't available on this node; only the caller has it.
    const earlierText = offset === 0 ? '' : undefined;
    const origin = { offset, deliveredSeq: seq, earlierText, isAccepted: true };
    return ok(EngineStreamRelay.create(parts, plan, starter, started, origin));
  }

  private resolveRunner(plan: GenerationPlan, position: ResumePosition): StartedStream['runner'] {
    const id = toId<EndpointId>(position.runner);
    const known = this.parts.directory.getEndpoint(id);
    if (known !== undefined && known.service === plan.service.id) return known;
    // A runner that this node doesn't know yet can still serve its retained output.
    return { id, url: position.url, region: undefined, boot: '' };
  }
}
