import type { EngineUsage } from '@lovagearch/engine-client';
import type { CompletionKind } from './completionRequest.js';

/** Fields that all bodies and events of one response share. */
export interface CompletionHead {
  readonly kind: CompletionKind;
  readonly requestId: string;
  readonly model: string;
  /** Wall-clock time in Unix seconds; clients only display it. */
  readonly createdSeconds: number;
}

type FinishReason = 'length' | 'stop';

/**
 * Renders usage in the format of common client libraries, with the reuse details of protocols.md.
 */
export const renderUsage = (usage: EngineUsage) => ({
  prompt_tokens: usage.promptTokens,
  completion_tokens: usage.completionTokens,
  total_tokens: usage.promptTokens + usage.completionTokens,
  prompt_tokens_details: {
    cached_tokens: usage.cachedTokens,
    imported_tokens: usage.importedTokens,
  },
});

const renderHead = (head: CompletionHead, object: string) => ({
  id: head.requestId,
  object,
  created: head.createdSeconds,
  model: head.model,
});

/** Renders the body of a response that isn't streamed. */
export const renderCompletion = (
  head: CompletionHead,
  text: string,
  finishReason: FinishReason,
  usage: EngineUsage,
) =>
  head.kind === 'chat'
    ? {
        ...renderHead(head, 'chat.completion'),
        choices: [
          {
            index: 0,
            message: { role: 'assistant', content: text },
            finish_reason: finishReason,
          },
        ],
        usage: renderUsage(usage),
      }
    : {
        ...renderHead(head, 'text_completion'),
        choices: [{ index: 0, text, logprobs: null, finish_reason: finishReason }],
        usage: renderUsage(usage),
      };

/** Renders the data of one token event of a streamed response. */
export const renderTokenEvent = (head: CompletionHead, text: string) =>
  head.kind === 'chat'
    ? {
        ...renderHead(head, 'chat.completion.chunk'),
        choices: [{ index: 0, delta: { content: text }, finish_reason: null }],
      }
    : {
        ...renderHead(head, 'text_completion'),
        choices: [{ index: 0, text, logprobs: null, finish_reason: null }],
      };

/**
 * Returns a function that renders the token events of one response as JSON. Only the text differs
 * between events, so everything else is serialised once.
 */
export const createTokenRenderer = (head: CompletionHead): ((text: string) => string) => {
  const template = JSON.stringify(renderTokenEvent(head, ''));
  // The text is the last string of the event, so the last pair of quotes marks its place.
  const textIndex = template.lastIndexOf('""');
  const prefix = template.slice(0, textIndex);
  const suffix = template.slice(textIndex + 2);
  return (text) => `${prefix}${JSON.stringify(text)}${suffix}`;
};

/** Renders the final event of a streamed response, which precedes `[DONE]`. */
export const renderDoneEvent = (
  head: CompletionHead,
  finishReason: FinishReason,
  usage: EngineUsage,
) =>
  head.kind === 'chat'
    ? {
        ...renderHead(head, 'chat.completion.chunk'),
        choices: [{ index: 0, delta: {}, finish_reason: finishReason }],
        usage: renderUsage(usage),
      }
    : {
        ...renderHead(head, 'text_completion'),
        choices: [{ index: 0, text: '', logprobs: null, finish_reason: finishReason }],
        usage: renderUsage(usage),
      };
