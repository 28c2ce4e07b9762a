import { locationSchema } from '@lovagearch/reuse';
import { z } from 'zod';

/** Maximum anchors per lookup. A lookup sends the three deepest anchors of a prompt. */
const MAX_ANCHORS_PER_LOOKUP = 4;
/** Maximum entries per handover message, which keeps a frame well below 1 MiB. */
export const MAX_ENTRIES_PER_HANDOVER = 256;
const keySchema = z.string().max(64);

export const INDEX_TOPICS = {
  lookup: 'index.lookup',
  report: 'index.report',
  remove: 'index.remove',
  removeHolder: 'index.remove_holder',
  handover: 'index.handover',
  placed: 'index.placed',
  stored: 'index.stored',
  imported: 'index.imported',
} as const;

export const lookupSchema = z.object({ anchors: z.array(keySchema).max(MAX_ANCHORS_PER_LOOKUP) });
export const lookupReplySchema = z.object({ locations: z.array(locationSchema).max(64) });
export const reportSchema = z.object({ anchor: keySchema, location: locationSchema });
export const removeSchema = z.object({
  anchor: keySchema,
  holder: z.string().max(128),
  tailKey: keySchema,
});
export const removeHolderSchema = z.object({ holder: z.string().max(128) });
export const handoverSchema = z.object({
  entries: z
    .array(z.object({ anchor: keySchema, locations: z.array(locationSchema).max(8) }))
    .max(MAX_ENTRIES_PER_HANDOVER),
});
/** Sent to the watchers of a runner when it has cached the prefix of a request. */
export const placementSchema = z.object({
  runner: z.string().max(128),
  account: z.string().max(128),
  anchor: keySchema,
  tailKey: keySchema,
  depth: z.number().int().positive(),
  extendedTailKey: keySchema.optional(),
});
export type PlacementMessage = z.infer<typeof placementSchema>;
/** Sent to the watchers of a store VM when a segment has been written to it. */
export const storedSegmentSchema = z.object({
  store: z.string().max(128),
  segmentId: keySchema,
  anchor: keySchema,
  bytes: z.number().int().nonnegative(),
  depth: z.number().int().positive(),
  returnChance: z.number().min(0).max(1),
});
export type StoredSegmentMessage = z.infer<typeof storedSegmentSchema>;
export const importedSegmentSchema = z.object({ store: z.string().max(128), segmentId: keySchema });
