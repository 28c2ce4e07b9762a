import { LOG_LEVEL_NAMES } from '@lovagearch/common';
import { z } from 'zod';
import {
  DEFAULT_DRAIN_LIMIT_MS,
  DEFAULT_LINK_BYTES_PER_SECOND,
  DEFAULT_MAX_BODY_BYTES,
  DEFAULT_RUN_SHARDS,
  DEFAULT_STATSD_PORT,
  MAX_BODY_LIMIT_BYTES,
  MAX_DRAIN_LIMIT_MS,
  MAX_LINK_BYTES_PER_SECOND,
  MAX_OPERATOR_KEYS,
  MAX_PORT,
  MAX_RUN_SHARDS,
  MAX_SEEDS,
} from './constants.js';
import {
  createIntegerField,
  createPatternField,
  createSha256Field,
  createStringField,
} from './fields.js';

const createPortField = () => createIntegerField(0, MAX_PORT);
const createUrlField = () =>
  createPatternField(/^https?:\/\/[^\s/]+/, 'a URL that begins with http:// or https://');
const createNameField = () =>
  createPatternField(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower case letters, digits, . _ -');

const listenSchema = z.strictObject({
  host: createStringField(255),
  callerPort: createPortField(),
  adminPort: createPortField(),
  peerPort: createPortField(),
});

const platformSchema = z.strictObject({
  tableUrl: createUrlField(),
  objectUrl: createUrlField(),
  vmListUrl: createUrlField(),
});

const statsdSchema = z.strictObject({
  host: createStringField(255),
  port: createPortField().default(DEFAULT_STATSD_PORT),
});

/** Schema of the settings file that the entry process and the steward share. */
export const settingsSchema = z.strictObject({
  region: createNameField(),
  zone: createNameField(),
  /** Id of the node; the process generates one if it is missing. */
  nodeName: createNameField().optional(),
  listen: listenSchema,
  platform: platformSchema,
  /** `host:port` at which other nodes reach the peer port; by default the listen address. */
  peerAddress: createPatternField(/^[^\s:]+:\d{1,5}$/, 'an address as host:port').optional(),
  /** Peers as `host:port` through which this node joins if the VM list is unavailable. */
  seeds: z
    .array(createPatternField(/^[^\s:]+:\d{1,5}$/, 'an address as host:port'))
    .max(MAX_SEEDS)
    .default([]),
  clusterKeyFile: createStringField(),
  serviceTokenFile: createStringField(),
  operatorKeySha256: z.array(createSha256Field()).max(MAX_OPERATOR_KEYS).default([]),
  /** Number of run log shards; must be equal on all nodes. */
  runShards: createIntegerField(1, MAX_RUN_SHARDS).default(DEFAULT_RUN_SHARDS),
  drainLimitMs: createIntegerField(0, MAX_DRAIN_LIMIT_MS, 'milliseconds').default(
    DEFAULT_DRAIN_LIMIT_MS,
  ),
  maxBodyBytes: createIntegerField(1, MAX_BODY_LIMIT_BYTES, 'bytes').default(
    DEFAULT_MAX_BODY_BYTES,
  ),
  /** This node's share of the bandwidth between regions. */
  linkBytesPerSecond: createIntegerField(1, MAX_LINK_BYTES_PER_SECOND, 'bytes').default(
    DEFAULT_LINK_BYTES_PER_SECOND,
  ),
  /** Policy for choosing runners. All but `cost` are for measurements only and use no store VM. */
  routingPolicy: z.enum(['cost', 'least_loaded', 'prefix_affinity', 'round_robin']).default('cost'),
  historyFile: createStringField().optional(),
  statsd: statsdSchema.optional(),
  logLevel: z.enum(LOG_LEVEL_NAMES).default('info'),
});

export type Settings = z.infer<typeof settingsSchema>;
