import { processClock } from '@lovagearch/common';
import { z } from 'zod';

const usageSchema = z.object({
  prompt_tokens: z.number(),
  completion_tokens: z.number(),
  prompt_tokens_details: z
    .object({ cached_tokens: z.number(), imported_tokens: z.number() })
    .optional(),
});
export type CallerUsage = z.infer<typeof usageSchema>;

export const completionSchema = z.object({
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullish() })),
  usage: usageSchema.nullish(),
});

export const errorSchema = z.object({
  error: z.object({
    type: z.string(),
    message: z.string(),
    run: z.string(),
    retry_after_ms: z.number().optional(),
  }),
});
export type CallerFailure = z.infer<typeof errorSchema>['error'];

/** Collects the server-sent events of one answer. */
export class StreamReader {
  text = '';

  lastEventId = '';

  isComplete = false;

  doneCount = 0;

  usage: CallerUsage | undefined;

  failure: CallerFailure | undefined;

  firstAtMs = 0;

  readonly gapsMs: number[] = [];

  private lastAtMs = 0;

  constructor(private readonly onText: ((text: string) => void) | undefined) {}

  /** Applies one server-sent event. */
  handleEvent(block: string): void {
    const fields = new Map<string, string>();
    for (const line of block.split('\n')) {
      const colon = line.indexOf(':');
      if (colon > 0) fields.set(line.slice(0, colon), line.slice(colon + 1).trimStart());
    }
    const data = fields.get('data');
    if (data === undefined) return;
    if (data === '[DONE]') {
      this.isComplete = true;
      this.doneCount += 1;
      return;
    }
    if (fields.get('event') === 'error') {
      this.failure = errorSchema.parse(JSON.parse(data)).error;
      return;
    }
    this.lastEventId = fields.get('id') ?? this.lastEventId;
    this.handleCompletion(completionSchema.parse(JSON.parse(data)));
  }

  private handleCompletion(chunk: z.infer<typeof completionSchema>): void {
    this.usage = chunk.usage ?? this.usage;
    const text = chunk.choices[0]?.text ?? '';
    if (text === '') return;
    const nowMs = processClock.nowMs();
    if (this.firstAtMs === 0) this.firstAtMs = nowMs;
    else this.gapsMs.push(nowMs - this.lastAtMs);
    this.lastAtMs = nowMs;
    this.text += text;
    this.onText?.(text);
  }
}
