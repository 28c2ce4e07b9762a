import { z } from 'zod';
import type { ModelId, WeightVersion } from '@lovagearch/common';
import { vmSchema } from '@lovagearch/platform-client';

/** Topics of messages between nodes about membership, load and the VM list. */
export const NODE_TOPICS = {
  probe: 'membership.probe',
  indirect: 'membership.indirect',
  rows: 'load.rows',
  merged: 'load.merged',
  urgent: 'load.urgent',
  region: 'load.region',
  details: 'load.details',
  vms: 'vms.changes',
} as const;

/** Endpoints whose details one message may request. */
export const MAX_DETAILS = 64;
const MAX_MODELS = 64;
/** Size limit for the sections in one message: 4,096 rows and their headers. */
const MAX_SECTION_BYTES = 65_536;

const nameSchema = z.string().min(1).max(128);
const hashSchema = z.int().min(0).max(0xffffffff);
export const sectionBytesSchema = z
  .instanceof(Uint8Array)
  .refine((bytes) => bytes.length <= MAX_SECTION_BYTES, 'too many bytes');

/** `hop` tells the receiver to which nodes it forwards the sections. */
export const urgentSchema = z.object({
  hop: z.enum(['region', 'row', 'column']),
  sections: sectionBytesSchema,
});
export type UrgentHop = z.infer<typeof urgentSchema>['hop'];

export const regionSchema = z.object({
  capacities: sectionBytesSchema,
  sections: sectionBytesSchema,
});

export const detailsRequestSchema = z.object({ endpoints: z.array(hashSchema).max(MAX_DETAILS) });
export const detailsReplySchema = z.object({
  details: z
    .array(
      z.object({
        endpoint: hashSchema,
        boot: z.string().max(128),
        models: z.array(z.object({ model: nameSchema, weightVersion: nameSchema })).max(MAX_MODELS),
      }),
    )
    .max(MAX_DETAILS),
});

/** VMs in one change message. Nodes learn of the remaining changes by reading the VM list. */
export const MAX_VM_CHANGES = 256;
/** `hop` is `system` for the node that forwards the changes to all other nodes of its region. */
export const vmChangesSchema = z.object({
  hop: z.enum(['region', 'system']),
  vms: z.array(vmSchema).max(MAX_VM_CHANGES),
});
export type VmChanges = z.infer<typeof vmChangesSchema>;

/** The models that a runner serves, and its boot id. */
export interface EndpointDetails {
  readonly boot: string;
  readonly models: readonly { readonly model: ModelId; readonly weightVersion: WeightVersion }[];
}
