import { processClock } from '@lovagearch/common';
import { z } from 'zod';
import type { Cluster } from './cluster.js';
import { assertProof } from './proofCase.js';
import { waitUntil } from './waiting.js';

/** Time after which a leaving endpoint receives no new work (invariant 7). */
const LEAVING_LIMIT_MS = 3_000;
const ARRIVAL_TIMEOUT_MS = 10_000;

const arrivalsSchema = z.array(
  z.object({ requestId: z.string().nullable(), ageMs: z.number(), refusal: z.string().nullish() }),
);

/** Returns when each call reached an endpoint, as readings of this process's clock. */
const readArrivals = async (cluster: Cluster, id: string): Promise<number[]> => {
  const arrivals = arrivalsSchema.parse(await cluster.readControl(id, 'arrivals'));
  const nowMs = processClock.nowMs();
  return arrivals.map(({ ageMs }) => nowMs - ageMs);
};

/** Waits until an endpoint has received work through the cluster. */
export const waitForArrivals = async (
  cluster: Cluster,
  id: string,
  count: number,
): Promise<void> => {
  await waitUntil(
    `${id} receives work`,
    ARRIVAL_TIMEOUT_MS,
    async () => (await readArrivals(cluster, id)).length >= count,
  );
};

/**
 * Fails the proof if an endpoint received new work, accepted or refused, more than 3 s after it
 * started to leave.
 *
 * @param leftMs when it started to leave, as a reading of this process's clock
 * @returns when the last new work arrived, in words
 */
export const checkLeft = async (cluster: Cluster, id: string, leftMs: number): Promise<string> => {
  const arrivals = await readArrivals(cluster, id);
  const lastMs = Math.round(Math.max(...arrivals, leftMs) - leftMs);
  const late = arrivals.filter((atMs) => atMs > leftMs + LEAVING_LIMIT_MS).length;
  assertProof(
    late === 0,
    `${id} received ${late} calls later than 3 s, the last after ${lastMs} ms`,
  );
  return `last new work at ${id} after ${lastMs} ms`;
};
