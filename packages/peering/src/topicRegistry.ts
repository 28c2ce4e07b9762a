import { getErrorMessage, type NodeId } from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { PeerHandler } from './types.js';

/** Why a message was not handled. For requests, it is returned as an error reply. */
export interface Rejection {
  readonly reason: 'bad_payload' | 'handler_failed' | 'unknown_topic';
  readonly message: string;
}

type ValidatingHandler = (from: NodeId, payload: unknown) => Promise<Result<unknown, Rejection>>;

/** Handlers by topic. A handler only receives payloads that match the schema of its topic. */
export class TopicRegistry {
  private readonly handlers = new Map<string, ValidatingHandler>();

  static create(): TopicRegistry {
    return new TopicRegistry();
  }

  register<Schema extends z.ZodType>(
    topic: string,
    schema: Schema,
    handler: PeerHandler<z.infer<Schema>>,
  ): void {
    this.handlers.set(topic, async (from, payload) => {
      const parsed = schema.safeParse(payload);
      if (!parsed.success) return err({ reason: 'bad_payload', message: `topic ${topic}` });
      try {
        return ok(await handler(from, parsed.data));
      } catch (error) {
        return err({ reason: 'handler_failed', message: getErrorMessage(error).slice(0, 200) });
      }
    });
  }

  /** Validates a payload and calls its handler. Failures are returned, never thrown. */
  async handle(from: NodeId, topic: string, payload: unknown): Promise<Result<unknown, Rejection>> {
    const handler = this.handlers.get(topic);
    if (handler === undefined) return err({ reason: 'unknown_topic', message: topic });
    return handler(from, payload);
  }
}
