import { z } from 'zod';

/** Load reported by a runner; `ageMs` is the time since it was sampled. */
export const engineLoadSchema = z.object({
  queuedPromptTokens: z.number().nonnegative(),
  activeSequences: z.number().nonnegative(),
  cacheUse: z.number().min(0).max(1),
  ageMs: z.number().nonnegative(),
});
export type EngineLoad = z.infer<typeof engineLoadSchema>;

/** Store VM and segment from which a runner may import KV cache before it prefills the rest. */
export const kvSourceSchema = z.object({
  url: z.string(),
  segmentId: z.string(),
  sha256: z.string(),
  fromDepth: z.number().int().nonnegative(),
  depth: z.number().int().positive(),
});
export type KvSource = z.infer<typeof kvSourceSchema>;

export const generateRequestSchema = z.object({
  requestId: z.string(),
  streamId: z.string(),
  account: z.string(),
  model: z.string(),
  weightVersion: z.string(),
  adapter: z.string().optional(),
  prompt: z.string(),
  blockKeys: z.array(z.string()),
  priority: z.union([z.literal(0), z.literal(1), z.literal(2)]),
  maxTokens: z.number().int().positive(),
  seed: z.number().int(),
  generatedText: z.string().optional(),
  kvSource: kvSourceSchema.optional(),
});
export type GenerateRequest = z.infer<typeof generateRequestSchema>;

export const engineUsageSchema = z.object({
  promptTokens: z.number().int().nonnegative(),
  cachedTokens: z.number().int().nonnegative(),
  importedTokens: z.number().int().nonnegative(),
  completionTokens: z.number().int().nonnegative(),
});
export type EngineUsage = z.infer<typeof engineUsageSchema>;

export const generateChunkSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('accepted'),
    streamId: z.string(),
    weightVersion: z.string(),
    load: engineLoadSchema,
  }),
  z.object({
    type: z.literal('token'),
    streamId: z.string(),
    seq: z.number().int().positive(),
    text: z.string(),
  }),
  z.object({ type: z.literal('heartbeat'), streamId: z.string(), load: engineLoadSchema }),
  z.object({
    type: z.literal('done'),
    streamId: z.string(),
    seq: z.number().int().positive(),
    chunks: z.number().int().nonnegative(),
    sha256: z.string(),
    finishReason: z.enum(['stop', 'length', 'cancelled']),
    weightVersion: z.string(),
    load: engineLoadSchema,
    usage: engineUsageSchema,
  }),
  z.object({
    type: z.literal('error'),
    streamId: z.string(),
    error: z.object({ type: z.string(), message: z.string() }),
  }),
]);
export type GenerateChunk = z.infer<typeof generateChunkSchema>;

export const engineStatusSchema = z.object({
  endpointId: z.string(),
  boot: z.string(),
  state: z.enum(['ready', 'draining', 'loading']),
  role: z.string(),
  models: z.array(
    z.object({ model: z.string(), weightVersion: z.string(), adapters: z.array(z.string()) }),
  ),
  loading: z.array(z.object({ model: z.string(), weightVersion: z.string() })),
  load: engineLoadSchema,
  fencing: z.number().int().nonnegative(),
  checksFencing: z.boolean(),
});
export type EngineStatus = z.infer<typeof engineStatusSchema>;

export const cacheEventSchema = z.discriminatedUnion('type', [
  z.object({
    seq: z.number().int(),
    type: z.literal('stored'),
    tailKey: z.string(),
    depth: z.number().int().positive(),
  }),
  z.object({ seq: z.number().int(), type: z.literal('evicted'), keys: z.array(z.string()) }),
]);
export type CacheEvent = z.infer<typeof cacheEventSchema>;

export const cacheEventPageSchema = z.object({
  boot: z.string(),
  events: z.array(cacheEventSchema),
  nextSeq: z.number().int(),
});
export type CacheEventPage = z.infer<typeof cacheEventPageSchema>;

export const exportResultSchema = z.object({
  segmentId: z.string(),
  sha256: z.string(),
  bytes: z.number().int().nonnegative(),
  depth: z.number().int().positive(),
});
export type ExportResult = z.infer<typeof exportResultSchema>;

export const engineOrderSchema = z.object({
  orderId: z.string(),
  fencing: z.number().int().nonnegative(),
  type: z.enum(['load', 'unload', 'load_adapter', 'set_role']),
  model: z.string().optional(),
  weightVersion: z.string().optional(),
  adapter: z.string().optional(),
  role: z.string().optional(),
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/**
 * Why a call to a runner failed. `refused` means that the runner rejected it before accepting it, and
 * `not_connected` that no byte was sent: both guarantee that nothing ran. After the other three the
 * outcome is unknown.
 */
export type EngineError =
  | {
      readonly type: 'refused';
      readonly status: number;
      readonly reason: string;
      readonly message: string;
      readonly load?: EngineLoad;
    }
  | { readonly type: 'not_connected'; readonly message: string }
  | { readonly type: 'connection_lost'; readonly message: string }
  | { readonly type: 'silent'; readonly silentMs: number }
  | { readonly type: 'protocol_violation'; readonly message: string };

/** URL of a runner and the service token that it expects. */
export interface EngineAddress {
  readonly url: string;
  readonly serviceToken?: string;
}
