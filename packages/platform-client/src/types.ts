import type { ResultAsync } from 'neverthrow';
import { z } from 'zod';

export const tableRowSchema = z.object({
  key: z.string(),
  value: z.unknown(),
  version: z.number().int().positive(),
  attemptId: z.string().nullable(),
});
export type TableRow = z.infer<typeof tableRowSchema>;

/** `conflict`: the version condition failed and the row was not changed. */
export type TableError =
  | { readonly type: 'conflict'; readonly current: TableRow | null }
  | { readonly type: 'unavailable'; readonly message: string }
  | { readonly type: 'outcome_unknown'; readonly message: string }
  | { readonly type: 'protocol_violation'; readonly message: string };

/**
 * The platform's transactional table. If the response to a `write` is lost, the client reads the
 * row back and compares its attempt id. It returns `outcome_unknown` if that does not decide
 * whether the write took effect.
 */
export interface TableClient {
  readonly read: (key: string) => ResultAsync<TableRow | null, TableError>;
  /** @param ifVersion required current version of the row; 0 if the row must not exist */
  readonly write: (
    key: string,
    value: unknown,
    ifVersion: number | undefined,
    attemptId: string,
  ) => ResultAsync<{ readonly version: number }, TableError>;
  readonly remove: (key: string, ifVersion?: number) => ResultAsync<void, TableError>;
  readonly list: (
    prefix: string,
    after?: string,
    limit?: number,
  ) => ResultAsync<
    { readonly rows: readonly TableRow[]; readonly next: string | null },
    TableError
  >;
  readonly close: () => Promise<void>;
}

export type ObjectError =
  | { readonly type: 'not_found' }
  | { readonly type: 'checksum_mismatch' }
  | { readonly type: 'unavailable'; readonly message: string };

/** The platform's object store. Reads are verified against the SHA-256 that the store returns. */
export interface ObjectClient {
  readonly read: (name: string) => ResultAsync<Uint8Array, ObjectError>;
  readonly write: (name: string, bytes: Uint8Array) => ResultAsync<void, ObjectError>;
  readonly remove: (name: string) => ResultAsync<void, ObjectError>;
  readonly close: () => Promise<void>;
}

export const vmSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'runner', 'service', 'store']),
  service: z.string().nullable(),
  host: z.string(),
  ports: z.record(z.string(), z.number().int()),
  zone: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type Vm = z.infer<typeof vmSchema>;

export interface VmListError {
  readonly type: 'unavailable';
  readonly message: string;
}

/** The platform's list of VMs. It is eventually consistent and may be out of date. */
export interface VmListClient {
  readonly read: () => ResultAsync<readonly Vm[], VmListError>;
  readonly close: () => Promise<void>;
}
