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

// Text of a caller must not be able to imitate the start or the end of a message.
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
 * Renders chat messages as one prompt. The text of a message depends on nothing but the message, so
 * the prompt of a conversation is a prefix of its continuation's prompt up to the last message, and
 * the cached blocks are found again.
 *
 * @example
 * renderChatPrompt([{ role: 'user', content: 'Hello' }]);
 * // '<|user|>\nHello\n<|end|>\n<|assistant|>\n'
 */
export const renderChatPrompt = (messages: readonly ChatMessage[]): string =>
  `${messages.map(renderMessage).join('')}<|assistant|>\n`;
