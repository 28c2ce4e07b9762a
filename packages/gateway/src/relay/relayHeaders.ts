import { HOP_BY_HOP_HEADERS } from '@lovagearch/common';
import * as z from 'zod';

/** Header by which a node tells a peer that it passes on a request of one of its callers. */
export const RELAY_HEADER = 'lovagearch-relay';
/** Header by which a peer tells what became of such a request; nodes of an earlier release don't send it. */
export const RELAY_RESULT_HEADER = 'lovagearch-relay-result';
/** Value of the result header in the response of an endpoint. Other responses name the type of their error. */
export const ENDPOINT_RESULT = 'endpoint';
/** Value of the result header in the response of a node without room for requests of peers. */
export const FULL_RESULT = 'full';

const relayedSchema = z.object({
  /** Name of the node whose caller sent the request. */
  node: z.string(),
  /** Time that is left for the request, in milliseconds. */
  limitMs: z.number().positive(),
  /** Number of times that the request may have run. */
  runs: z.number().int().nonnegative(),
  /** Number of endpoints that received it. */
  sends: z.number().int().nonnegative(),
  /** Whether it counts in the retry budget of that node. */
  isCounted: z.boolean(),
  /** Names in the caller's `Connection` headers; these headers are not for endpoints. */
  connectionHeaders: z.array(z.string()).optional(),
});

/** What a node tells a peer about a request that it passes on. */
export type RelayedDetails = z.infer<typeof relayedSchema>;

const isRelayHeader = (name: string): boolean =>
  name === RELAY_HEADER || name === RELAY_RESULT_HEADER;

/** Removes headers, given as alternating names and values. */
const removeHeaders = (
  rawHeaders: readonly string[],
  isRemoved: (name: string) => boolean,
): string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (!isRemoved(name.toLowerCase())) kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
};

const listConnectionHeaders = (rawHeaders: readonly string[]): string[] => {
  const names: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
      const lower = name.trim().toLowerCase();
      if (lower !== '' && lower !== 'close' && !HOP_BY_HOP_HEADERS.has(lower)) names.push(lower);
    }
  }
  return names;
};

/**
 * Encodes the headers of a caller's request for a peer.
 *
 * @param rawHeaders headers as the caller sent them, as alternating names and values
 */
export const encodeRelayedHeaders = (
  rawHeaders: readonly string[],
  details: Omit<RelayedDetails, 'connectionHeaders'>,
): string[] => {
  const connectionHeaders = listConnectionHeaders(rawHeaders);
  const headers = removeHeaders(
    rawHeaders,
    (name) => HOP_BY_HOP_HEADERS.has(name) || isRelayHeader(name),
  );
  const all = connectionHeaders.length === 0 ? details : { ...details, connectionHeaders };
  headers.push(RELAY_HEADER, JSON.stringify(all));
  return headers;
};

/** Decodes what a node told about a request that it passed on; undefined if it is malformed. */
export const decodeRelayedDetails = (text: string): RelayedDetails | undefined => {
  try {
    return relayedSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/** Returns the headers as the caller sent them, without those that concern its own connection only. */
export const restoreCallerHeaders = (
  rawHeaders: readonly string[],
  { connectionHeaders = [] }: RelayedDetails,
): string[] => {
  const headers = removeHeaders(rawHeaders, (name) => isRelayHeader(name) || name === 'connection');
  if (connectionHeaders.length > 0) headers.push('connection', connectionHeaders.join(','));
  return headers;
};

/** Returns the headers of a peer's response for the caller, as alternating names and values. */
export const decodeCallerHeaders = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string[] => {
  const callerHeaders: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || isRelayHeader(name)) continue;
    for (const item of Array.isArray(value) ? value : [value]) callerHeaders.push(name, item);
  }
  return callerHeaders;
};
