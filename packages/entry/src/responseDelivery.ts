import type { ServerResponse } from 'node:http';
import { assertNever, type CallerError, createUnknownOutcomeError } from '@lovagearch/common';
import { renderErrorBody } from './callerErrorBody.js';
import {
  type CompletionHead,
  createTokenRenderer,
  renderCompletion,
  renderDoneEvent,
} from './completionBody.js';
import type { EngineStreamRelay } from './engineStreamRelay.js';
import type { GenerationMetrics } from './generationMetrics.js';
import type { RelayEvent, TokenPosition } from './relayEvents.js';
import { type CallerLoss, SseWriter, type SseWriterOptions } from './sseWriter.js';

/** A response that is being delivered to its caller. */
export interface ResponseDelivery {
  readonly head: CompletionHead;
  readonly relay: EngineStreamRelay;
  readonly metrics: GenerationMetrics;
  /** Encodes a token position as the id of an SSE event. */
  readonly encodeEventId: (position: TokenPosition) => string;
}

export type DeliveryOutcome =
  | { readonly type: 'completed' }
  | { readonly type: 'caller_lost'; readonly loss: CallerLoss }
  | { readonly type: 'failed'; readonly error: CallerError };

const writeEvent = async (
  writer: SseWriter,
  { head, metrics, encodeEventId }: ResponseDelivery,
  renderToken: (text: string) => string,
  event: RelayEvent,
): Promise<void> => {
  switch (event.type) {
    case 'token': {
      metrics.recordToken();
      await writer.write({ id: encodeEventId(event.position), data: renderToken(event.text) });
      return;
    }
    case 'done': {
      metrics.recordUsage(event.usage);
      const data = renderDoneEvent(head, event.finishReason, event.usage);
      await writer.write({ data: JSON.stringify(data) });
      await writer.write({ data: '[DONE]' });
      return;
    }
    case 'failed': {
      const data = JSON.stringify(renderErrorBody(event.error, head.requestId));
      await writer.write({ event: 'error', data });
      return;
    }
    default:
      assertNever(event);
  }
};

/**
 * Sends a response as server-sent events. `[DONE]` is sent only after the relay has verified the
 * complete text. If the caller disconnects or stops reading, the relay is closed while the stream
 * keeps running on the runner.
 */
export const sendStreamedResponse = async (
  delivery: ResponseDelivery,
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
  options: SseWriterOptions = {},
): Promise<DeliveryOutcome> => {
  const { relay } = delivery;
  const writer = SseWriter.create(response, headers, options);
  writer.onLoss(() => relay.close());
  const renderToken = createTokenRenderer(delivery.head);
  let error: CallerError | undefined;
  for await (const event of relay.run()) {
    await writeEvent(writer, delivery, renderToken, event);
    if (event.type === 'failed') error = event.error;
  }
  const loss = writer.getLoss();
  writer.end();
  if (loss !== undefined) return { type: 'caller_lost', loss };
  return error === undefined ? { type: 'completed' } : { type: 'failed', error };
};

/** A complete response body, or the reason why there is none. */
export type CollectedResponse =
  | { readonly type: 'answer'; readonly body: unknown }
  | Exclude<DeliveryOutcome, { type: 'completed' }>;

/**
 * Collects a complete, verified response in memory. Its size is bounded by `max_tokens` and by the
 * relay.
 *
 * @param response HTTP response, observed only to detect a disconnect; nothing is written to it
 */
export const collectResponse = async (
  delivery: ResponseDelivery,
  response: ServerResponse,
): Promise<CollectedResponse> => {
  const { head, relay, metrics } = delivery;
  const parts: string[] = [];
  const handleClose = () => relay.close();
  if (response.destroyed) relay.close();
  response.on('close', handleClose);
  try {
    for await (const event of relay.run()) {
      switch (event.type) {
        case 'token':
          metrics.recordToken();
          parts.push(event.text);
          break;
        case 'done': {
          const { finishReason, usage } = event;
          metrics.recordUsage(usage);
          return {
            type: 'answer',
            body: renderCompletion(head, parts.join(''), finishReason, usage),
          };
        }
        case 'failed':
          return { type: 'failed', error: event.error };
        default:
          return assertNever(event);
      }
    }
  } finally {
    response.off('close', handleClose);
  }
  if (response.destroyed) return { type: 'caller_lost', loss: 'disconnected' };
  const error = createUnknownOutcomeError(
    'endpoint_failed',
    'the response ended before its final event',
  );
  return { type: 'failed', error };
};
