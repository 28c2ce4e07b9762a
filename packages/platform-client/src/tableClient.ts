import { setTimeout as waitMs } from 'node:timers/promises';
import { err, errAsync, ok, type Result, ResultAsync } from 'neverthrow';
import type { Agent } from 'undici';
import { z } from 'zod';
import {
  DEFAULT_LIST_LIMIT,
  MAX_CONCURRENT_TABLE_CALLS,
  READ_BACK_DELAY_MS,
  READ_BACK_ATTEMPTS,
  TABLE_TIMEOUT_MS,
} from './constants.js';
import {
  createAgent,
  type HttpResponse,
  type HttpRequest,
  parseJson,
  sendHttpRequest,
} from './httpRequest.js';
import { type TableClient, type TableError, type TableRow, tableRowSchema } from './types.js';
import { computeWriteOutcome } from './writeOutcome.js';

const writeResponseSchema = z.object({ version: z.number().int().positive() });
const conflictResponseSchema = z.object({ current: tableRowSchema.nullable() });
const listResponseSchema = z.object({ rows: z.array(tableRowSchema), next: z.string().nullable() });

export interface TableClientOptions {
  readonly url: string;
  readonly timeoutMs?: number;
  readonly maxConcurrentCalls?: number;
  readonly readBackAttempts?: number;
  readonly readBackDelayMs?: number;
}

/** A failed request. `isSent` is false only if the request certainly never reached the table. */
interface TableRequestFailure {
  readonly isSent: boolean;
  readonly message: string;
}

const createUnavailableError = (message: string): TableError => ({ type: 'unavailable', message });

const parseResponse = <Value>(
  schema: z.ZodType<Value>,
  response: HttpResponse,
): Result<Value, TableError> => {
  const parsed = schema.safeParse(parseJson(response.body));
  return parsed.success
    ? ok(parsed.data)
    : err({
        type: 'protocol_violation',
        message: `the table responded with status ${response.status} and an unexpected body`,
      });
};

/**
 * HTTP client of the platform's table.
 *
 * @example
 * const table = HttpTableClient.create({ url: 'http://127.0.0.1:9000' });
 * const row = await table.read('config/head');
 */
export class HttpTableClient implements TableClient {
  private activeCalls = 0;

  private constructor(
    private readonly agent: Agent,
    private readonly options: Required<TableClientOptions>,
  ) {}

  static create(options: TableClientOptions): HttpTableClient {
    return new HttpTableClient(createAgent(), {
      timeoutMs: TABLE_TIMEOUT_MS,
      maxConcurrentCalls: MAX_CONCURRENT_TABLE_CALLS,
      readBackAttempts: READ_BACK_ATTEMPTS,
      readBackDelayMs: READ_BACK_DELAY_MS,
      ...options,
    });
  }

  readonly read = (key: string): ResultAsync<TableRow | null, TableError> =>
    this.send({ method: 'GET', url: this.getRowUrl(key) })
      .mapErr(({ message }) => createUnavailableError(message))
      .andThen((answer): Result<TableRow | null, TableError> => {
        if (answer.status === 404) return ok(null);
        if (answer.status === 200) return parseResponse(tableRowSchema, answer);
        return err(createUnavailableError(`the table responded with status ${answer.status}`));
      });

  readonly write = (
    key: string,
    value: unknown,
    ifVersion: number | undefined,
    attemptId: string,
  ): ResultAsync<{ readonly version: number }, TableError> =>
    new ResultAsync(this.runWrite(key, value, ifVersion, attemptId));

  readonly remove = (key: string, ifVersion?: number): ResultAsync<void, TableError> => {
    const query = ifVersion === undefined ? '' : `?ifVersion=${ifVersion}`;
    return this.send({ method: 'DELETE', url: `${this.getRowUrl(key)}${query}` })
      .mapErr(({ isSent, message }): TableError =>
        isSent ? { type: 'outcome_unknown', message } : createUnavailableError(message),
      )
      .andThen((answer): Result<void, TableError> => {
        if (answer.status === 204) return ok(undefined);
        if (answer.status === 409) return this.parseConflict(answer);
        return err({
          type: 'outcome_unknown',
          message: `the table responded with status ${answer.status}`,
        });
      });
  };

  readonly list = (
    prefix: string,
    after?: string,
    limit = DEFAULT_LIST_LIMIT,
  ): ResultAsync<
    { readonly rows: readonly TableRow[]; readonly next: string | null },
    TableError
  > => {
    const query = new URLSearchParams({ prefix, limit: String(limit) });
    if (after !== undefined) query.set('after', after);
    return this.send({ method: 'GET', url: `${this.options.url}/v1/rows?${query.toString()}` })
      .mapErr(({ message }) => createUnavailableError(message))
      .andThen((answer) =>
        answer.status === 200
          ? parseResponse(listResponseSchema, answer)
          : err(createUnavailableError(`the table responded with status ${answer.status}`)),
      );
  };

  readonly close = async (): Promise<void> => {
    await this.agent.destroy();
  };

  private getRowUrl(key: string): string {
    return `${this.options.url}/v1/rows/${encodeURIComponent(key)}`;
  }

  private async runWrite(
    key: string,
    value: unknown,
    ifVersion: number | undefined,
    attemptId: string,
  ): Promise<Result<{ readonly version: number }, TableError>> {
    const result = await this.send({
      method: 'PUT',
      url: this.getRowUrl(key),
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ value, ifVersion, attemptId }),
    });
    if (result.isErr()) {
      if (!result.error.isSent) return err(createUnavailableError(result.error.message));
      return this.readBack(key, ifVersion, attemptId);
    }
    const answer = result.value;
    if (answer.status === 200) {
      const parsed = parseResponse(writeResponseSchema, answer);
      return parsed.isOk() ? parsed : this.readBack(key, ifVersion, attemptId);
    }
    if (answer.status === 409) return this.parseConflict(answer);
    // A 4xx response, for overload or a malformed request, means that the write was not applied.
    if (answer.status >= 400 && answer.status < 500) {
      return err(createUnavailableError(`the table responded with status ${answer.status}`));
    }
    // A server error may have occurred after the write was applied.
    return this.readBack(key, ifVersion, attemptId);
  }

  private async readBack(
    key: string,
    ifVersion: number | undefined,
    attemptId: string,
  ): Promise<Result<{ readonly version: number }, TableError>> {
    for (let attempt = 0; attempt < this.options.readBackAttempts; attempt++) {
      if (attempt > 0) await waitMs(this.options.readBackDelayMs);
      const row = await this.read(key);
      if (row.isErr()) continue;
      const outcome = computeWriteOutcome(row.value, ifVersion, attemptId);
      if (outcome.type === 'applied') return ok({ version: outcome.version });
      if (outcome.type === 'rejected') return err({ type: 'conflict', current: outcome.current });
    }
    return err({
      type: 'outcome_unknown',
      message: 'the write response was lost and reading the row back was inconclusive',
    });
  }

  private parseConflict(answer: HttpResponse): Result<never, TableError> {
    return parseResponse(conflictResponseSchema, answer).andThen(({ current }) =>
      err<never, TableError>({ type: 'conflict', current }),
    );
  }

  private send(
    call: Omit<HttpRequest, 'timeoutMs'>,
  ): ResultAsync<HttpResponse, TableRequestFailure> {
    if (this.activeCalls >= this.options.maxConcurrentCalls) {
      return errAsync({ isSent: false, message: 'too many concurrent table requests' });
    }
    this.activeCalls += 1;
    const releaseSlot = (): void => {
      this.activeCalls -= 1;
    };
    return sendHttpRequest(this.agent, { ...call, timeoutMs: this.options.timeoutMs })
      .andTee(releaseSlot)
      .orTee(releaseSlot);
  }
}
