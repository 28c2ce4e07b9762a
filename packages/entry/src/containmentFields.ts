import { toId, type EndpointId, type Fingerprint } from '@lovagearch/common';
import { z } from 'zod';

/** Fields shared by the containment messages. */
export const fingerprintSchema = z
  .string()
  .max(128)
  .transform((value) => toId<Fingerprint>(value));

export const endpointSchema = z
  .string()
  .max(200)
  .transform((value) => toId<EndpointId>(value));

/** Time until an entry expires, in milliseconds. */
export const remainingMsSchema = z.number().nonnegative().finite();
