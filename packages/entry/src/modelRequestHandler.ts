import {
  assertNever,
  type CallerError,
  createNotRunError,
  MS_PER_SECOND,
} from '@lovagearch/common';
import type { FastifyReply } from 'fastify';
import type { AbandonedStreams } from './abandonedStreams.js';
import {
  collectResponse,
  type ResponseDelivery,
  type DeliveryOutcome,
  sendStreamedResponse,
} from './responseDelivery.js';
import {
  type CompletionKind,
  type CompletionRequest,
  parseCompletionRequest,
} from './completionRequest.js';
import { GenerationMetrics } from './generationMetrics.js';
import type { CallerContext, GenerationOpener, OpenedGeneration } from './generationOpener.js';
import type { GenerationParts } from './generationPlan.js';
import { computePromptHash } from './generationPreparation.js';
import type { ResumeTokenCodec } from './resumeTokenCodec.js';
import type { SseWriterOptions } from './sseWriter.js';

/** Whether the response was sent, or the error that the server still has to send. */
export type HandlerOutcome =
  { readonly type: 'answered' } | { readonly type: 'error'; readonly error: CallerError };

/** Handles requests to `/v1/completions` and `/v1/chat/completions`. */
export class ModelRequestHandler {
  private constructor(
    private readonly parts: GenerationParts,
    private readonly opener: GenerationOpener,
    private readonly resumeTokens: ResumeTokenCodec,
    private readonly abandonedStreams: AbandonedStreams,
    private readonly sseOptions: SseWriterOptions,
  ) {}

  static create(
    parts: GenerationParts,
    opener: GenerationOpener,
    resumeTokens: ResumeTokenCodec,
    abandoned: AbandonedStreams,
    sseOptions: SseWriterOptions = {},
  ): ModelRequestHandler {
    return new ModelRequestHandler(parts, opener, resumeTokens, abandoned, sseOptions);
  }

  /**
   * Handles one request.
   *
   * @param lastEventId value of `Last-Event-ID`, if the caller resumes a response
   * @param headers response headers, used only if the response is streamed
   */
  async handle(
    context: CallerContext,
    kind: CompletionKind,
    body: unknown,
    lastEventId: string | undefined,
    reply: FastifyReply,
    headers: Readonly<Record<string, string>>,
  ): Promise<HandlerOutcome> {
    const parsed = parseCompletionRequest(kind, body);
    if (parsed.isErr()) return { type: 'error', error: parsed.error };
    const request = parsed.value;
    if (lastEventId !== undefined && !request.isStreamed) {
      const message = 'Last-Event-ID needs "stream": true';
      return { type: 'error', error: createNotRunError('resume_invalid', message) };
    }
    const opened =
      lastEventId === undefined
        ? await this.opener.open(context, request)
        : await this.opener.resume(context, request, lastEventId);
    if (opened.isErr()) return { type: 'error', error: opened.error };
    try {
      return await this.deliver(context, request, opened.value, reply, headers);
    } finally {
      opened.value.ticket.release();
    }
  }

  private async deliver(
    context: CallerContext,
    request: CompletionRequest,
    opened: OpenedGeneration,
    reply: FastifyReply,
    headers: Readonly<Record<string, string>>,
  ): Promise<HandlerOutcome> {
    const delivery = this.createDelivery(context, request, opened);
    delivery.metrics.recordAddedDelay(opened.ticket.queuedMs);
    if (request.isStreamed) {
      reply.hijack();
      const end = await sendStreamedResponse(delivery, reply.raw, headers, this.sseOptions);
      this.recordOutcome(opened, end);
      // An error in mid-stream has already been sent as an event.
      return { type: 'answered' };
    }
    const collected = await collectResponse(delivery, reply.raw);
    switch (collected.type) {
      case 'answer':
        this.recordOutcome(opened, { type: 'completed' });
        await reply.send(collected.body);
        return { type: 'answered' };
      case 'caller_lost':
        this.recordOutcome(opened, collected);
        reply.hijack();
        return { type: 'answered' };
      case 'failed':
        this.recordOutcome(opened, collected);
        return { type: 'error', error: collected.error };
      default:
        return assertNever(collected);
    }
  }

  private createDelivery(
    context: CallerContext,
    request: CompletionRequest,
    { plan, relay }: OpenedGeneration,
  ): ResponseDelivery {
    const { account, model, weightVersion } = plan;
    const promptHash = computePromptHash(plan.prompt);
    return {
      head: {
        kind: request.kind,
        requestId: context.requestId,
        model,
        createdSeconds: Math.floor(Date.now() / MS_PER_SECOND),
      },
      relay,
      metrics: GenerationMetrics.create(
        this.parts.metrics,
        this.parts.clock,
        context.arrivedAtMs,
        plan,
      ),
      encodeEventId: (position) =>
        this.resumeTokens.encode({ account, model, weightVersion, promptHash, ...position }),
    };
  }

  private recordOutcome({ plan, relay }: OpenedGeneration, outcome: DeliveryOutcome): void {
    const { decisions, log } = this.parts;
    const { requestId } = plan;
    switch (outcome.type) {
      case 'completed':
        decisions.record(requestId, { type: 'completed', status: 200, detail: 'whole answer' });
        return;
      case 'caller_lost': {
        const { address, streamId } = relay.stream;
        this.abandonedStreams.add(address, streamId);
        const error = outcome.loss === 'stalled' ? 'caller_stalled' : 'caller_disconnected';
        log.info(`Lost the caller of ${requestId}: ${error}. Keeping its stream for a resume.`);
        decisions.record(requestId, { type: 'caller_left', reason: outcome.loss });
        return;
      }
      case 'failed':
        decisions.record(requestId, {
          type: 'refused',
          error: outcome.error.type,
          run: outcome.error.run,
        });
        return;
      default:
        assertNever(outcome);
    }
  }
}
