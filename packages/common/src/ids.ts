import { randomUUID } from 'node:crypto';

/** A string that belongs to one kind of id and can't be passed for another. */
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
 * Marks a string that was checked as an id of one kind.
 *
 * @example
 * const account = toId<AccountId>('zamu');
 */
export const toId = <Id extends Branded<string>>(value: string): Id => value as Id;

/**
 * Creates a unique id with a prefix that tells its kind in logs.
 *
 * @example
 * createId<RequestId>('req'); // 'req-0b6f...'
 */
export const createId = <Id extends Branded<string>>(prefix: string): Id =>
  `${prefix}-${randomUUID()}` as Id;
