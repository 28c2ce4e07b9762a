import { z } from 'zod';
import { standinOptionsSchema } from './standinServer.js';

const kvSourceSchema = z.object({
  url: z.string(),
  segmentId: z.string(),
  sha256: z.string(),
  fromDepth: z.number().int().nonnegative(),
  depth: z.number().int().positive(),
});
export type KvSource = z.infer<typeof kvSourceSchema>;

export const generateSchema = z.object({
  requestId: z.string(),
  streamId: z.string(),
  account: z.string(),
  model: z.string(),
  weightVersion: z.string(),
  adapter: z.string().optional(),
  prompt: z.string(),
  blockKeys: z.array(z.string().regex(/^[0-9a-f]{32}$/)),
  priority: z.union([z.literal(0), z.literal(1), z.literal(2)]),
  maxTokens: z.number().int().positive().max(100_000),
  seed: z.number().int(),
  generatedText: z.string().optional(),
  kvSource: kvSourceSchema.optional(),
});
export type GenerateCall = z.infer<typeof generateSchema>;

export const orderSchema = z.object({
  orderId: z.string(),
  fencing: z.number().int().nonnegative(),
  type: z.enum(['load', 'unload', 'load_adapter', 'set_role']),
  model: z.string().optional(),
  weightVersion: z.string().optional(),
  adapter: z.string().optional(),
  role: z.string().optional(),
});
export type Order = z.infer<typeof orderSchema>;

export const exportSchema = z.object({
  tailKey: z.string(),
  depth: z.number().int().positive(),
  target: z.string(),
});

export const engineFaultsSchema = z.object({
  /** Refuses each new prompt for this reason. */
  refuse: z.enum(['queue_full', 'draining', 'loading', 'wrong_version']).nullable().default(null),
  /** Writes the last token of another running stream in place of the right one. */
  crossAnswers: z.boolean().default(false),
  repeatChunks: z.boolean().default(false),
  /** A connection that has written this seq writes nothing more; new connections work. */
  silentAfterSeq: z.number().int().positive().nullable().default(null),
  dropConnectionAfterSeq: z.number().int().positive().nullable().default(null),
  /** The process exits when it starts to run a prompt with this text. */
  crashOnPromptContaining: z.string().min(1).nullable().default(null),
  slowFactor: z.number().positive().default(1),
});
export type EngineFaults = z.infer<typeof engineFaultsSchema>;

export const engineOptionsSchema = standinOptionsSchema.extend({
  models: z
    .array(
      z.object({
        model: z.string(),
        weightVersion: z.string(),
        adapters: z.array(z.string()).default([]),
      }),
    )
    .default([]),
  role: z.string().default('mixed'),
  /** Shortest time between SIGTERM and the end of the process. */
  minDrainMs: z.number().nonnegative().default(0),
  prefillTokensPerSecond: z.number().positive().default(20_000),
  stepMs: z.number().positive().default(10),
  maxBatch: z.number().int().positive().default(16),
  cacheTokens: z.number().int().positive().default(32_768),
  maxQueue: z.number().int().positive().default(64),
  kvBytesPerToken: z.number().int().positive().default(256),
  checksFencing: z.boolean().default(true),
  checksCaller: z.boolean().default(false),
  serviceToken: z.string().default(''),
  eventLagMs: z.number().nonnegative().default(300),
  eventLossRate: z.number().min(0).max(1).default(0.05),
  seed: z.number().int().default(1),
  loadLagMs: z.number().nonnegative().default(200),
  loadWeightsMs: z.number().nonnegative().default(900),
  maxParallelLoadsBeforeSlow: z.number().int().positive().default(3),
  /** Base URL of the weight store; without it a load takes `loadWeightsMs` only. */
  weightsUrl: z.string().optional(),
  retainMs: z.number().positive().default(60_000),
  heartbeatMs: z.number().positive().default(1_000),
  faults: engineFaultsSchema.default(engineFaultsSchema.parse({})),
});
export type EngineOptions = z.infer<typeof engineOptionsSchema>;
