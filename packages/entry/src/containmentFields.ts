import { toId, type EndpointId, type Fingerprint } from '@lovagearch/common';
import { z } from 'zod';

/** Fields that the messages about containment share. */
export const fingerprintSchema = z
  .string()
  .max(128)
  .transform((value) => toId<Fingerprint>(value));

export const endpointSchema = z
  .string()
  .max(200)
  .transform((value) => toId<EndpointId>(value));

/** Time for which an entry still holds, in milliseconds. */
export const remainingMsSchema = z.number().nonnegative().finite();
