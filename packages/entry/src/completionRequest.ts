import { type CallerError, createNotRunError } from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  DEFAULT_DEADLINE_MS,
  DEFAULT_MAX_TOKENS,
  MAX_DEADLINE_MS,
  MAX_TOKENS_LIMIT,
  MAX_CALLER_ID_LENGTH,
} from './callerConstants.js';
import { chatMessagesSchema, renderChatPrompt } from './chatPrompt.js';
import type { RequestClass } from './types.js';

// Unknown fields are ignored: common client libraries send many options that aren't supported here.
const commonFields = {
  model: z.string().min(1).max(MAX_CALLER_ID_LENGTH),
  max_tokens: z.number().int().positive().max(MAX_TOKENS_LIMIT).nullish(),
  stream: z.boolean().nullish(),
  seed: z.number().int().nullish(),
  user: z.string().nullish(),
  priority: z.enum(['interactive', 'standard', 'background']).nullish(),
  deadline_ms: z.number().int().positive().max(MAX_DEADLINE_MS).nullish(),
};
const completionSchema = z.object({ ...commonFields, prompt: z.string().min(1) });
const chatSchema = z.object({
  ...commonFields,
  max_completion_tokens: commonFields.max_tokens,
  messages: chatMessagesSchema,
});

/** API that the caller uses. It only determines the format of the response. */
export type CompletionKind = 'chat' | 'completion';

/** A validated generation request. */
export interface CompletionRequest {
  readonly kind: CompletionKind;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStreamed: boolean;
  /** Seed from the request body; undefined if absent. */
  readonly seed: number | undefined;
  /** Class from the request body; undefined to use the account's default. */
  readonly requestClass: RequestClass | undefined;
  /** Maximum queueing time from the request body; undefined to use the default of the class. */
  readonly deadlineMs: number | undefined;
}

/** Returns the maximum queueing time in milliseconds. */
export const getQueueDeadlineMs = (
  request: CompletionRequest,
  requestClass: RequestClass,
): number => request.deadlineMs ?? DEFAULT_DEADLINE_MS[requestClass];

const createFieldError = (error: z.ZodError): CallerError => {
  const issue = error.issues[0];
  const field = issue === undefined || issue.path.length === 0 ? 'body' : issue.path.join('.');
  return createNotRunError('bad_request', `${field}: ${issue?.message ?? 'invalid value'}`);
};

const toRequest = (
  kind: CompletionKind,
  prompt: string,
  maxTokens: number | null | undefined,
  body: Omit<z.infer<typeof completionSchema>, 'max_tokens' | 'prompt'>,
): CompletionRequest => ({
  kind,
  model: body.model,
  prompt,
  maxTokens: maxTokens ?? DEFAULT_MAX_TOKENS,
  isStreamed: body.stream ?? false,
  seed: body.seed ?? undefined,
  requestClass: body.priority ?? undefined,
  deadlineMs: body.deadline_ms ?? undefined,
});

/**
 * Parses the body of `/v1/completions` or `/v1/chat/completions`.
 *
 * @returns the request, or a `bad_request` error that names the first invalid field
 * @example
 * parseCompletionRequest('completion', { model: 'crop-8b', prompt: 'Label these plots' });
 */
export const parseCompletionRequest = (
  kind: CompletionKind,
  body: unknown,
): Result<CompletionRequest, CallerError> => {
  if (kind === 'completion') {
    const parsed = completionSchema.safeParse(body);
    if (!parsed.success) return err(createFieldError(parsed.error));
    return ok(toRequest(kind, parsed.data.prompt, parsed.data.max_tokens, parsed.data));
  }
  const parsed = chatSchema.safeParse(body);
  if (!parsed.success) return err(createFieldError(parsed.error));
  const { data } = parsed;
  const maxTokens = data.max_completion_tokens ?? data.max_tokens;
  return ok(toRequest(kind, renderChatPrompt(data.messages), maxTokens, data));
};
