import { z } from 'zod';
import { MAX_CHAT_MESSAGES } from './callerConstants.js';

const textPartSchema = z.object({ type: z.literal('text'), text: z.string() });

export const chatMessageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z.union([z.string(), z.array(textPartSchema)]).nullish(),
  name: z.string().optional(),
});
export const chatMessagesSchema = z.array(chatMessageSchema).min(1).max(MAX_CHAT_MESSAGES);
export type ChatMessage = z.infer<typeof chatMessageSchema>;

// Escapes `<|` so that text from a caller can't forge the start or the end of a message.
const renderText = (text: string): string => text.replaceAll('<|', '<\u200b|');

const renderContent = ({ content }: ChatMessage): string => {
  if (content === null || content === undefined) return '';
  if (typeof content === 'string') return renderText(content);
  return renderText(content.map((part) => part.text).join(''));
};

const renderMessage = (message: ChatMessage): string => {
  const name = message.name === undefined ? '' : ` ${JSON.stringify(renderText(message.name))}`;
  return `<|${message.role}${name}|>\n${renderContent(message)}\n<|end|>\n`;
};

/**
 * Renders chat messages as one prompt. Each message is rendered independently of the others, so the
 * prompts of a conversation and of its continuation share a prefix through the last common message,
 * and the cached blocks of that prefix can be reused.
 *
 * @example
 * renderChatPrompt([{ role: 'user', content: 'Hello' }]);
 * // '<|user|>\nHello\n<|end|>\n<|assistant|>\n'
 */
export const renderChatPrompt = (messages: readonly ChatMessage[]): string =>
  `${messages.map(renderMessage).join('')}<|assistant|>\n`;
