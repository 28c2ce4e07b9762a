import { randomUUID } from 'node:crypto';

/** A string of one kind of id, which the compiler does not accept as another kind. */
export type Branded<Name extends string> = string & { readonly __brand: Name };

export type AccountId = Branded<'AccountId'>;
export type AttemptId = Branded<'AttemptId'>;
export type BlockKey = Branded<'BlockKey'>;
export type EndpointId = Branded<'EndpointId'>;
export type Fingerprint = Branded<'Fingerprint'>;
export type ModelId = Branded<'ModelId'>;
export type NodeId = Branded<'NodeId'>;
export type Region = Branded<'Region'>;
export type RequestId = Branded<'RequestId'>;
export type ServiceId = Branded<'ServiceId'>;
export type StreamId = Branded<'StreamId'>;
export type WeightVersion = Branded<'WeightVersion'>;
export type Zone = Branded<'Zone'>;

/**
 * Brands a string that was validated already as an id of the given kind.
 *
 * @example
 * const account = toId<AccountId>('zamu');
 */
export const toId = <Id extends Branded<string>>(value: string): Id => value as Id;

/**
 * Creates a unique id with a prefix that identifies its kind in logs.
 *
 * @example
 * createId<RequestId>('req'); // 'req-0b6f...'
 */
export const createId = <Id extends Branded<string>>(prefix: string): Id =>
  `${prefix}-${randomUUID()}` as Id;
