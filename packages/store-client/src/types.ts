import type { ResultAsync } from 'neverthrow';
import { z } from 'zod';

export const storeStatusSchema = z.object({
  usedBytes: z.number().nonnegative(),
  capacityBytes: z.number().nonnegative(),
  segments: z.number().int().nonnegative(),
  boot: z.string(),
});
export type StoreStatus = z.infer<typeof storeStatusSchema>;

export const storedSegmentSchema = z.object({
  segmentId: z.string(),
  depth: z.number().int().positive(),
  bytes: z.number().int().nonnegative(),
  generation: z.number().int().nonnegative(),
  sha256: z.string(),
});
export type StoredSegment = z.infer<typeof storedSegmentSchema>;

export type StoreError =
  | { readonly type: 'not_found' }
  | { readonly type: 'unavailable'; readonly message: string }
  | { readonly type: 'protocol_violation'; readonly message: string };

/** Control API of store VMs. KV cache data is transferred only between engines and store VMs. */
export interface StoreClient {
  readonly readStatus: (url: string) => ResultAsync<StoreStatus, StoreError>;
  readonly remove: (url: string, segmentId: string) => ResultAsync<void, StoreError>;
  readonly list: (
    url: string,
    after?: string,
  ) => ResultAsync<
    { readonly segments: readonly StoredSegment[]; readonly next: string | null },
    StoreError
  >;
  readonly close: () => Promise<void>;
}
