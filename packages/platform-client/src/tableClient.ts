import { setTimeout as waitMs } from 'node:timers/promises';
import { err, errAsync, ok, type Result, ResultAsync } from 'neverthrow';
import type { Agent } from 'undici';
import { z } from 'zod';
import {
  DEFAULT_LIST_LIMIT,
  MAX_CONCURRENT_TABLE_CALLS,
  READ_BACK_PAUSE_MS,
  READ_BACK_TRIES,
  TABLE_TIMEOUT_MS,
} from './constants.js';
import { createAgent, type HttpAnswer, type HttpCall, parseJson, sendCall } from './httpCalls.js';
import { type TableClient, type TableError, type TableRow, tableRowSchema } from './types.js';
import { computeWriteOutcome } from './writeOutcome.js';

const writeAnswerSchema = z.object({ version: z.number().int().positive() });
const conflictSchema = z.object({ current: tableRowSchema.nullable() });
const pageSchema = z.object({ rows: z.array(tableRowSchema), next: z.string().nullable() });

export interface TableClientOptions {
  readonly url: string;
  readonly timeoutMs?: number;
  readonly maxConcurrentCalls?: number;
  readonly readBackTries?: number;
  readonly readBackPauseMs?: number;
}

/** A failed request. `isSent` is false only if the request certainly never reached the table. */
interface CallFailure {
  readonly isSent: boolean;
  readonly message: string;
}

const createUnavailable = (message: string): TableError => ({ type: 'unavailable', message });

const parseAnswer = <Value>(
  schema: z.ZodType<Value>,
  answer: HttpAnswer,
): Result<Value, TableError> => {
  const parsed = schema.safeParse(parseJson(answer.body));
  return parsed.success
    ? ok(parsed.data)
    : err({
        type: 'protocol_violation',
        message: `the table responded with status ${answer.status} and an unexpected body`,
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
      readBackTries: READ_BACK_TRIES,
      readBackPauseMs: READ_BACK_PAUSE_MS,
      ...options,
    });
  }

  readonly read = (key: string): ResultAsync<TableRow | null, TableError> =>
    this.send({ method: 'GET', url: this.getRowUrl(key) })
      .mapErr(({ message }) => createUnavailable(message))
      .andThen((answer): Result<TableRow | null, TableError> => {
        if (answer.status === 404) return ok(null);
        if (answer.status === 200) return parseAnswer(tableRowSchema, answer);
        return err(createUnavailable(`the table responded with status ${answer.status}`));
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
        isSent ? { type: 'outcome_unknown', message } : createUnavailable(message),
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
      .mapErr(({ message }) => createUnavailable(message))
      .andThen((answer) =>
        answer.status === 200
          ? parseAnswer(pageSchema, answer)
          : err(createUnavailable(`the table responded with status ${answer.status}`)),
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
    const sent = await this.send({
      method: 'PUT',
      url: this.getRowUrl(key),
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ value, ifVersion, attemptId }),
    });
    if (sent.isErr()) {
      if (!sent.error.isSent) return err(createUnavailable(sent.error.message));
      return this.readBack(key, ifVersion, attemptId);
    }
    const answer = sent.value;
    if (answer.status === 200) {
      const parsed = parseAnswer(writeAnswerSchema, answer);
      return parsed.isOk() ? parsed : this.readBack(key, ifVersion, attemptId);
    }
    if (answer.status === 409) return this.parseConflict(answer);
    // A 4xx response, for overload or a malformed request, means that the write was not applied.
    if (answer.status >= 400 && answer.status < 500) {
      return err(createUnavailable(`the table responded with status ${answer.status}`));
    }
    // A server error may have occurred after the write was applied.
    return this.readBack(key, ifVersion, attemptId);
  }

  private async readBack(
    key: string,
    ifVersion: number | undefined,
    attemptId: string,
  ): Promise<Result<{ readonly version: number }, TableError>> {
    for (let tries = 0; tries < this.options.readBackTries; tries++) {
      if (tries > 0) await waitMs(this.options.readBackPauseMs);
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

  private parseConflict(answer: HttpAnswer): Result<never, TableError> {
    return parseAnswer(conflictSchema, answer).andThen(({ current }) =>
      err<never, TableError>({ type: 'conflict', current }),
    );
  }

  private send(call: Omit<HttpCall, 'timeoutMs'>): ResultAsync<HttpAnswer, CallFailure> {
    if (this.activeCalls >= this.options.maxConcurrentCalls) {
      return errAsync({ isSent: false, message: 'too many concurrent table requests' });
    }
    this.activeCalls += 1;
    const takeEnd = (): void => {
      this.activeCalls -= 1;
    };
    return sendCall(this.agent, { ...call, timeoutMs: this.options.timeoutMs })
      .andTee(takeEnd)
      .orTee(takeEnd);
  }
}
