import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import {
  bundleSchema,
  type ConfigurationBundle,
  type ConfigurationHead,
  EMPTY_BUNDLE,
  getBundleObjectName,
  headSchema,
} from './bundle.js';
import { computeDigest } from './canonicalJson.js';
import { HEAD_KEY, MAX_BUNDLE_BYTES } from './constants.js';

/** A row as the platform's table client returns it. */
export interface ConfigurationRow {
  readonly value: unknown;
  readonly version: number;
  readonly attemptId: string | null;
}

/** Errors of the table client that publishing distinguishes. */
export type ConfigurationTableError =
  | { readonly type: 'conflict'; readonly current: ConfigurationRow | null }
  | { readonly type: 'outcome_unknown'; readonly message: string }
  | { readonly type: 'protocol_violation'; readonly message: string }
  | { readonly type: 'unavailable'; readonly message: string };

/** The operations of the platform's table client that the configuration uses. */
export interface ConfigurationTable {
  readonly read: (key: string) => ResultAsync<ConfigurationRow | null, ConfigurationTableError>;
  readonly write: (
    key: string,
    value: unknown,
    ifVersion: number | undefined,
    attemptId: string,
  ) => ResultAsync<{ readonly version: number }, ConfigurationTableError>;
}

/** The operations of the platform's object client that the configuration uses. */
export interface ConfigurationObjects {
  readonly read: (name: string) => ResultAsync<Uint8Array, { readonly type: string }>;
  readonly write: (name: string, bytes: Uint8Array) => ResultAsync<void, { readonly type: string }>;
}

/**
 * `unavailable`: the platform didn't return the data; `invalid`: the data is not a valid
 * configuration.
 */
export interface ConfigurationSourceError {
  readonly type: 'invalid' | 'unavailable';
  readonly message: string;
}

/** The head, null before the first publication, with the row version for a conditional write. */
export interface VersionedHead {
  readonly head: ConfigurationHead | null;
  readonly version: number;
  readonly attemptId: string | null;
}

const createSourceError = (
  type: ConfigurationSourceError['type'],
  message: string,
): ConfigurationSourceError => ({
  type,
  message,
});

/** Validates the row `config/head`. */
export const parseHeadRow = (
  row: ConfigurationRow | null,
): ResultAsync<VersionedHead, ConfigurationSourceError> => {
  if (row === null) return okAsync({ head: null, version: 0, attemptId: null });
  const head = headSchema.safeParse(row.value);
  if (!head.success) {
    return errAsync(
      createSourceError('invalid', `row ${HEAD_KEY} is not a valid configuration head`),
    );
  }
  return okAsync({ head: head.data, version: row.version, attemptId: row.attemptId });
};

/** Reads the head row. */
export const readHead = (
  table: ConfigurationTable,
): ResultAsync<VersionedHead, ConfigurationSourceError> =>
  table
    .read(HEAD_KEY)
    .mapErr((error) => createSourceError('unavailable', `reading the table failed: ${error.type}`))
    .andThen(parseHeadRow);

const parseBundle = (
  bytes: Uint8Array,
  digest: string,
): ResultAsync<ConfigurationBundle, ConfigurationSourceError> => {
  const invalid = createSourceError(
    'invalid',
    `object ${getBundleObjectName(digest)} is not a valid bundle with this digest`,
  );
  if (bytes.byteLength > MAX_BUNDLE_BYTES) return errAsync(invalid);
  try {
    const parsed = bundleSchema.safeParse(JSON.parse(Buffer.from(bytes).toString('utf8')));
    if (!parsed.success || computeDigest(parsed.data) !== digest) return errAsync(invalid);
    return okAsync(parsed.data);
  } catch {
    return errAsync(invalid);
  }
};

/**
 * Reads the bundle of a head and verifies its digest; returns the empty bundle if there is no head.
 */
export const readBundle = (
  objects: ConfigurationObjects,
  head: ConfigurationHead | null,
): ResultAsync<ConfigurationBundle, ConfigurationSourceError> => {
  if (head === null) return okAsync(EMPTY_BUNDLE);
  return objects
    .read(getBundleObjectName(head.digest))
    .mapErr((error) =>
      createSourceError('unavailable', `reading the object store failed: ${error.type}`),
    )
    .andThen((bytes) => parseBundle(bytes, head.digest));
};
