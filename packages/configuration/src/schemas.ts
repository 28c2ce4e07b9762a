import {
  createIntegerField,
  createNumberField,
  createPatternField,
  createSha256Field,
} from '@lovagearch/settings';
import { z } from 'zod';
import {
  DEFAULT_KV_BYTES_PER_TOKEN,
  DEFAULT_LINK_WEIGHT,
  DEFAULT_MAX_CONCURRENT_LOADS,
  DEFAULT_PREFILL_TOKENS_PER_SECOND,
  DEFAULT_RECOMPUTE_WEIGHT,
  DEFAULT_RETENTION_HOURS,
  DEFAULT_ROUTE_TIMEOUT_MS,
  DEFAULT_STORE_BYTES_PER_SECOND,
  DEFAULT_TTFT_WEIGHT,
  MAX_KEYS_PER_ACCOUNT,
  MAX_ROUTES,
  MAX_SERVICES_PER_ACCOUNT,
} from './constants.js';

const createNameField = () =>
  createPatternField(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'a name of 1 to 63 lower case letters, digits, dots, underscores and hyphens',
  );
const createWeightField = (value: number) => createNumberField(0, 1e9).default(value);

const policySchema = z.strictObject({
  ttftWeight: createWeightField(DEFAULT_TTFT_WEIGHT),
  recomputeWeight: createWeightField(DEFAULT_RECOMPUTE_WEIGHT),
  linkWeight: createWeightField(DEFAULT_LINK_WEIGHT),
});

export const modelServiceSchema = z.strictObject({
  kind: z.literal('service'),
  name: createNameField(),
  type: z.literal('model'),
  checksCaller: z.boolean({ error: 'expected true or false' }).default(true),
  maxConcurrentLoads: createIntegerField(1, 10_000).default(DEFAULT_MAX_CONCURRENT_LOADS),
  kvBytesPerToken: createIntegerField(1, 1e9).default(DEFAULT_KV_BYTES_PER_TOKEN),
  prefillTokensPerSecond: createNumberField(1, 1e9).default(DEFAULT_PREFILL_TOKENS_PER_SECOND),
  storeBytesPerSecond: createNumberField(1, 1e12).default(DEFAULT_STORE_BYTES_PER_SECOND),
  policy: policySchema.default({
    ttftWeight: DEFAULT_TTFT_WEIGHT,
    recomputeWeight: DEFAULT_RECOMPUTE_WEIGHT,
    linkWeight: DEFAULT_LINK_WEIGHT,
  }),
  retentionHours: createNumberField(0, 8_760).default(DEFAULT_RETENTION_HOURS),
});

export const routeSchema = z.strictObject({
  method: z.enum(['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT']),
  /** Exact path, or a prefix followed by `/*`. */
  path: createPatternField(
    /^\/(?:[^?#*\s]*|(?:[^?#*\s]*\/)?\*)$/,
    'a path that begins with / and may end in /*',
  ),
  idempotent: z.boolean({ error: 'expected true or false' }),
  timeoutMs: createIntegerField(1, 3_600_000, 'milliseconds').default(DEFAULT_ROUTE_TIMEOUT_MS),
});

export const plainServiceSchema = z.strictObject({
  kind: z.literal('service'),
  name: createNameField(),
  type: z.literal('plain'),
  checksCaller: z.boolean({ error: 'expected true or false' }).default(true),
  routes: z.array(routeSchema).max(MAX_ROUTES).default([]),
});

export const accountSchema = z.strictObject({
  kind: z.literal('account'),
  name: createNameField(),
  keySha256: z.array(createSha256Field()).min(1).max(MAX_KEYS_PER_ACCOUNT),
  services: z.array(createNameField()).max(MAX_SERVICES_PER_ACCOUNT),
  promptTokensPerSecond: createNumberField(1, 1e12),
  maxConcurrent: createIntegerField(1, 1e6),
  defaultClass: z.enum(['interactive', 'standard', 'background']).default('standard'),
});

export const modelSchema = z.strictObject({
  kind: z.literal('model'),
  name: createNameField(),
  service: createNameField(),
  weightVersion: createPatternField(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'a weight version'),
  minRunners: createIntegerField(0, 100_000).default(1),
});

/** Content of one configuration file. */
export const entrySchema = z.discriminatedUnion('kind', [
  z.discriminatedUnion('type', [modelServiceSchema, plainServiceSchema]),
  accountSchema,
  modelSchema,
]);

export type ModelService = z.infer<typeof modelServiceSchema>;
export type PlainService = z.infer<typeof plainServiceSchema>;
export type Service = ModelService | PlainService;
export type Route = z.infer<typeof routeSchema>;
export type Account = z.infer<typeof accountSchema>;
export type Model = z.infer<typeof modelSchema>;
export type ConfigurationEntry = z.infer<typeof entrySchema>;

/** Unique key of an entry: `<kind>/<name>`. */
export type EntryKey = string;

/**
 * Returns the unique key of an entry.
 *
 * @example
 * getEntryKey(model); // 'model/crop-8b'
 */
export const getEntryKey = (entry: ConfigurationEntry): EntryKey => `${entry.kind}/${entry.name}`;
