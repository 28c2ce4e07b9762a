import type { FastifyReply } from 'fastify';
import { setTimeout as waitMs } from 'node:timers/promises';
import type { PlatformFaultState, PlatformPart } from './platformFaults.js';

export interface PlatformAnswer {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

const createError = (type: string): { readonly error: { readonly type: string } } => ({
  error: { type },
});

/**
 * Runs one call of the platform under the faults in force: `down` fails it before its effect,
 * `lost_answers` and `error_after_effect` after it.
 */
export const handlePlatformCall = async (
  reply: FastifyReply,
  faults: PlatformFaultState,
  part: PlatformPart,
  baseDelayMs: number,
  run: () => PlatformAnswer,
): Promise<FastifyReply> => {
  const delayMs = baseDelayMs + faults.getDelayMs(part);
  if (delayMs > 0) await waitMs(delayMs);
  if (faults.getMode(part) === 'down') return reply.code(503).send(createError('down'));
  const answer = run();
  if (faults.getMode(part) === 'lost_answers') {
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
  if (faults.getMode(part) === 'error_after_effect') {
    return reply.code(500).send(createError('error_after_effect'));
  }
  reply.code(answer.status).headers(answer.headers ?? {});
  return reply.send(answer.body);
};
