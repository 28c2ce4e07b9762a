import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { AdminError } from './adminClient.js';

const NAME_COLUMN_WIDTH = 20;
const STATE_COLUMN_WIDTH = 10;
const BYTES_PER_MEBIBYTE = 1_048_576;

const configurationSchema = z.object({
  revision: z.number(),
  isStoreReachable: z.boolean(),
  ignoredHeadRevision: z.number().nullable(),
});

const nodeSchema = z.object({
  region: z.string(),
  zone: z.string(),
  isDraining: z.boolean(),
  runningRequests: z.number(),
});

const endpointsSchema = z.object({
  endpoints: z.array(
    z.object({
      id: z.string(),
      service: z.string(),
      region: z.string(),
      zone: z.string(),
      state: z.string(),
      models: z.array(z.object({ model: z.string(), weightVersion: z.string() })),
      load: z.object({
        queuedPromptTokens: z.number(),
        activeSequences: z.number(),
        cacheUse: z.number(),
      }),
    }),
  ),
});

const storesSchema = z.object({
  stores: z.array(
    z.object({
      id: z.string(),
      region: z.string(),
      isLive: z.boolean(),
      fill: z
        .object({ usedBytes: z.number(), capacityBytes: z.number(), segments: z.number() })
        .nullable(),
    }),
  ),
});

const formatRow = (name: string, state: string, detail: string): string =>
  `${name.padEnd(NAME_COLUMN_WIDTH)} ${state.padEnd(STATE_COLUMN_WIDTH)} ${detail}`;

const getErrorText = (answer: Result<unknown, AdminError>): string =>
  answer.isErr() ? answer.error.message : 'unexpected response format';

/** Formats the configuration state of one node as a table row. */
export const formatNodeConfiguration = (
  node: string,
  result: Result<unknown, AdminError>,
): string => {
  const parsed = configurationSchema.safeParse(result.unwrapOr(undefined));
  if (!parsed.success) return formatRow(node, 'unknown', getErrorText(result));
  const { revision, isStoreReachable, ignoredHeadRevision } = parsed.data;
  const notes = [
    isStoreReachable ? 'store reachable' : 'store not reachable',
    ...(ignoredHeadRevision === null ? [] : [`older head ${ignoredHeadRevision} ignored`]),
  ];
  return formatRow(node, `revision ${revision}`, notes.join(', '));
};

/** Formats the state of one node as a table row. */
export const formatNodeStatus = (node: string, answer: Result<unknown, AdminError>): string => {
  const parsed = nodeSchema.safeParse(answer.unwrapOr(undefined));
  if (!parsed.success) return formatRow(node, 'unknown', getErrorText(answer));
  const { region, zone, isDraining, runningRequests } = parsed.data;
  const state = isDraining ? 'draining' : 'serving';
  return formatRow(node, state, `${region}/${zone}, ${runningRequests} requests running`);
};

/** Formats the endpoints that a node reports as table rows. */
export const formatEndpoints = (response: unknown): string[] => {
  const parsed = endpointsSchema.safeParse(response);
  if (!parsed.success) return ['endpoints: unknown'];
  return parsed.data.endpoints.map(({ id, service, region, zone, state, models, load }) => {
    const versions = models.map(({ model, weightVersion }) => `${model} ${weightVersion}`);
    const detail = [
      `${service} in ${region}/${zone}`,
      ...versions,
      `${load.activeSequences} active`,
      `${load.queuedPromptTokens} tokens queued`,
      `cache ${Math.round(load.cacheUse * 100)}%`,
    ];
    return formatRow(id, state, detail.join(', '));
  });
};

/** Formats the store VMs that a node reports as table rows. */
export const formatStores = (answer: unknown): string[] => {
  const parsed = storesSchema.safeParse(answer);
  if (!parsed.success) return ['stores: unknown'];
  return parsed.data.stores.map(({ id, region, isLive, fill }) => {
    const detail =
      fill === null
        ? 'fill known to its watcher only'
        : `${Math.round(fill.usedBytes / BYTES_PER_MEBIBYTE)} of ` +
          `${Math.round(fill.capacityBytes / BYTES_PER_MEBIBYTE)} MiB, ${fill.segments} segments`;
    return formatRow(id, isLive ? 'live' : 'dead', `${region}, ${detail}`);
  });
};
