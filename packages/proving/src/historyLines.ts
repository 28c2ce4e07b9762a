import { z } from 'zod';

const decisionSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('accepted'), account: z.string() }),
  z.object({
    type: z.literal('chosen'),
    endpoint: z.string(),
    streamId: z.string().optional(),
    weightVersion: z.string().optional(),
    segment: z.object({ tag: z.string(), depth: z.number() }).optional(),
  }),
  z.object({
    type: z.literal('resumed'),
    endpoint: z.string(),
    streamId: z.string(),
    afterSeq: z.number(),
  }),
  z.object({ type: z.literal('replanned') }),
  z.object({ type: z.literal('continued'), endpoint: z.string(), offset: z.number() }),
  z.object({
    type: z.literal('verified'),
    streamId: z.string(),
    tokens: z.number(),
    cachedTokens: z.number(),
    importedTokens: z.number(),
  }),
  z.object({ type: z.literal('refused'), error: z.string(), run: z.string() }),
  z.object({ type: z.literal('completed'), status: z.number(), detail: z.string() }),
  z.object({ type: z.literal('caller_left') }),
]);
export type HistoryDecision = z.infer<typeof decisionSchema>;

const lineSchema = z.object({
  requestId: z.string(),
  dropped: z.number(),
  decision: z.object({ type: z.string() }).loose(),
});

/** One decision of one request as a node saw it. */
export interface HistoryEvent {
  /** Node and number of the request there; a request id that comes again is another request. */
  readonly request: string;
  readonly decision: HistoryDecision;
}

/** A history that can't be checked, since lines of it are missing. */
export class HistoryError extends Error {
  override readonly name = 'HistoryError';
}

const parseLine = (line: string): z.infer<typeof lineSchema> | undefined => {
  try {
    return lineSchema.parse(JSON.parse(line));
  } catch {
    return undefined;
  }
};

/**
 * Parses the history file of an entry process. The last line may be cut, since the process may have
 * been killed while it wrote; decisions that no checker reads are passed over.
 *
 * @throws HistoryError for any other line that can't be read, and if the process dropped lines
 */
export const parseHistory = (node: string, content: string): HistoryEvent[] => {
  const events: HistoryEvent[] = [];
  const requests = new Map<string, number>();
  const lines = content.split('\n');
  for (const [index, text] of lines.entries()) {
    if (index === lines.length - 1) break;
    const line = parseLine(text);
    if (line === undefined) throw new HistoryError(`line ${index + 1} of ${node} can't be read`);
    if (line.dropped > 0) throw new HistoryError(`${node} dropped ${line.dropped} lines`);
    const decision = decisionSchema.safeParse(line.decision);
    if (!decision.success) continue;
    const isFirst = decision.data.type === 'accepted';
    const count = (requests.get(line.requestId) ?? 0) + (isFirst ? 1 : 0);
    requests.set(line.requestId, count);
    events.push({ request: `${node}/${line.requestId}/${count}`, decision: decision.data });
  }
  return events;
};
