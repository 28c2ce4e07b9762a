import type { FastifyReply } from 'fastify';
import { setTimeout as waitMs } from 'node:timers/promises';
import type { PlatformCall, PlatformFaultState } from './platformFaults.js';

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
  call: PlatformCall,
  run: () => PlatformAnswer,
): Promise<FastifyReply> => {
  const delayMs = call.delayMs + faults.getDelayMs(call);
  if (delayMs > 0) await waitMs(delayMs);
  if (faults.getMode(call) === 'down') return reply.code(503).send(createError('down'));
  const answer = run();
  if (faults.getMode(call) === 'lost_answers') {
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
  if (faults.getMode(call) === 'error_after_effect') {
    return reply.code(500).send(createError('error_after_effect'));
  }
  reply.code(answer.status).headers(answer.headers ?? {});
  return reply.send(answer.body);
};
