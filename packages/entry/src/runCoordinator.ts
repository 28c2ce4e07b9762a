import {
  assertNever,
  createId,
  createNotRunError,
  createUnknownOutcomeError,
  type AccountId,
  type AttemptId,
  type CallerError,
  type Clock,
  type Logger,
} from '@lovagearch/common';
import type { ObjectClient } from '@lovagearch/platform-client';
import { GRANT_VALIDITY_MS, MAX_KEY_LENGTH, type StoredResponse } from '@lovagearch/runs';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { BeginMessage, BeginReply, EndReply, ReleaseMessage } from './runMessages.js';
import { RunEndRetryQueue } from './runEndRetryQueue.js';
import { readResponse, writeResponse } from './runResponses.js';
import type { RouterError, RunShardRouter } from './runShardRouter.js';
import type {
  NodeComponent,
  RecordedResponse,
  BeginRunResult,
  RunCoordinator,
  RunGrant,
} from './types.js';

/** Largest number of unfinished attempts of this node; further runs are refused. */
const MAX_OPEN_ATTEMPTS = 4_096;
/** Retry delay suggested to callers while the run log can't be written. */
const RUN_LOG_RETRY_AFTER_MS = 2_000;

type BegunRecord = BeginMessage['record'];

export interface NodeRunCoordinatorOptions {
  readonly router: RunShardRouter;
  readonly objects: ObjectClient;
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: BegunRecord['holder'];
}

const createRunLogUnavailableError = (message: string): CallerError =>
  createNotRunError('run_store_unavailable', message, RUN_LOG_RETRY_AFTER_MS);

/**
 * Begins and ends at-most-once runs for the request path of this node. It tracks the attempts that
 * this node was granted; the run log itself is kept by the shard owners.
 */
export class NodeRunCoordinator implements RunCoordinator, NodeComponent {
  /** `begun` records of the open attempts, which `finish`, `release` and `abandon` end. */
  private readonly openAttempts = new Map<AttemptId, BegunRecord>();

  /** Attempts whose end is being written to the run log. */
  private readonly endingAttempts = new Set<AttemptId>();

  private readonly retryQueue: RunEndRetryQueue;

  private constructor(private readonly options: NodeRunCoordinatorOptions) {
    this.retryQueue = RunEndRetryQueue.create(options.log);
  }

  static create(options: NodeRunCoordinatorOptions): NodeRunCoordinator {
    return new NodeRunCoordinator(options);
  }

  /**
   * Requests a grant to send a call once.
   *
   * @example
   * const beginning = await coordinator.begin(account, 'claim-17', bodyHash);
   */
  readonly begin = (
    account: AccountId,
    key: string,
    bodyHash: string,
  ): ResultAsync<BeginRunResult, CallerError> =>
    new ResultAsync(this.beginRun(account, key, bodyHash));

  readonly finish = (grant: RunGrant, response: RecordedResponse): ResultAsync<void, CallerError> =>
    new ResultAsync(this.finishRun(grant, response));

  readonly release = (grant: RunGrant): ResultAsync<void, CallerError> =>
    new ResultAsync(this.releaseRun(grant));

  readonly abandon = (grant: RunGrant): void => {
    const record = this.takeOpenAttempt(grant);
    if (record !== undefined) this.queueRelease({ ...record, type: 'abandoned' });
  };

  /** Returns whether this process holds an attempt whose end is not recorded yet. */
  readonly isHolding = (attempt: AttemptId): boolean =>
    this.openAttempts.has(attempt) ||
    this.endingAttempts.has(attempt) ||
    this.retryQueue.has(attempt);

  /** Retries once more to record the waiting ends, and stops. */
  async stop(): Promise<void> {
    await this.retryQueue.stop();
  }

  private async beginRun(
    account: AccountId,
    key: string,
    bodyHash: string,
  ): Promise<Result<BeginRunResult, CallerError>> {
    if (key.length === 0 || key.length > MAX_KEY_LENGTH) {
      return err(
        createNotRunError('bad_request', 'the idempotency key must have 1 to 255 characters'),
      );
    }
    if (this.openAttempts.size + this.endingAttempts.size >= MAX_OPEN_ATTEMPTS) {
      return err(createNotRunError('overloaded', 'too many runs are open', RUN_LOG_RETRY_AFTER_MS));
    }
    const { clock, router, self } = this.options;
    const attempt = createId<AttemptId>('attempt');
    const record: BegunRecord = { type: 'begun', account, key, bodyHash, attempt, holder: self };
    const sendBeforeMs = clock.nowMs() + GRANT_VALIDITY_MS;
    this.openAttempts.set(attempt, record);
    const reply = await router.requestBegin(record);
    if (reply.isOk() && reply.value.type === 'granted' && clock.nowMs() < sendBeforeMs) {
      return ok({ type: 'granted', grant: { account, key, attempt, sendBeforeMs } });
    }
    this.openAttempts.delete(attempt);
    return this.handleMissingGrant(record, reply);
  }

  private async handleMissingGrant(
    record: BegunRecord,
    reply: Result<BeginReply, RouterError>,
  ): Promise<Result<BeginRunResult, CallerError>> {
    // Without a timely grant nothing was sent, but the log may contain the `begun` record.
    if (reply.isErr() || reply.value.type === 'granted') {
      this.queueRelease({ ...record, type: 'released' });
      return err(createRunLogUnavailableError("the run log can't be written"));
    }
    switch (reply.value.type) {
      case 'recorded':
        return this.readRecorded(reply.value.response);
      case 'in_progress':
        return err(
          createUnknownOutcomeError('run_in_progress', 'a call with this key is still running'),
        );
      case 'unknown':
        return err(
          createUnknownOutcomeError('outcome_unknown', 'a call with this key may have run'),
        );
      case 'key_reused':
        return err(
          createNotRunError(
            'idempotency_key_reused',
            'the idempotency key was already used for a different call',
          ),
        );
      case 'recorded_unreadable':
        return err({
          type: 'run_store_unavailable',
          message: "the call ran, but its recorded response can't be read now",
          run: 'ran',
          retryAfterMs: RUN_LOG_RETRY_AFTER_MS,
        });
      case 'attempt_over':
      case 'full':
      case 'unavailable':
      case 'wrong_owner':
        return err(
          createRunLogUnavailableError(`the run log refused the call: ${reply.value.type}`),
        );
      default:
        return assertNever(reply.value);
    }
  }

  private async readRecorded(stored: StoredResponse): Promise<Result<BeginRunResult, CallerError>> {
    const response = await readResponse(this.options.objects, stored);
    return response
      .map((value): BeginRunResult => ({ type: 'recorded', response: value }))
      .mapErr(({ message }) => ({
        type: 'run_store_unavailable' as const,
        message: `the call ran, but its recorded response can't be read now: ${message}`,
        run: 'ran' as const,
        retryAfterMs: RUN_LOG_RETRY_AFTER_MS,
      }));
  }

  private async finishRun(
    grant: RunGrant,
    response: RecordedResponse,
  ): Promise<Result<void, CallerError>> {
    const record = this.takeOpenAttempt(grant);
    if (record === undefined) return ok(undefined);
    const tryRecord = async (): Promise<boolean> => {
      const { objects, router } = this.options;
      const stored = await writeResponse(objects, record.attempt, response);
      if (stored.isErr()) return false;
      const { holder, ...attempt } = record;
      return this.isSettled(
        await router.requestFinish({ ...attempt, type: 'finished', response: stored.value }),
      );
    };
    const isRecorded = await this.recordEndOrQueue(record.attempt, tryRecord, response.body.length);
    if (isRecorded) return ok(undefined);
    return err({
      type: 'run_store_unavailable',
      message: 'the response is not recorded yet',
      run: 'ran',
    });
  }

  private async releaseRun(grant: RunGrant): Promise<Result<void, CallerError>> {
    const record = this.takeOpenAttempt(grant);
    if (record === undefined) return ok(undefined);
    const released: ReleaseMessage['record'] = { ...record, type: 'released' };
    const tryRecord = async (): Promise<boolean> =>
      this.isSettled(await this.options.router.requestRelease(released));
    if (await this.recordEndOrQueue(record.attempt, tryRecord, 0)) return ok(undefined);
    return err(createRunLogUnavailableError('the idempotency key is not released yet'));
  }

  /**
   * Records the end of an attempt, or queues it for a retry if that fails. The attempt counts as
   * held while its end is being recorded or is queued.
   */
  private async recordEndOrQueue(
    attempt: AttemptId,
    tryRecord: () => Promise<boolean>,
    bytes: number,
  ): Promise<boolean> {
    this.endingAttempts.add(attempt);
    try {
      if (await tryRecord()) return true;
      this.retryQueue.add(attempt, tryRecord, bytes);
      return false;
    } finally {
      this.endingAttempts.delete(attempt);
    }
  }

  private queueRelease(record: ReleaseMessage['record']): void {
    const tryRecord = async (): Promise<boolean> =>
      this.isSettled(await this.options.router.requestRelease(record));
    this.retryQueue.add(record.attempt, tryRecord, 0);
  }

  private isSettled(reply: Result<EndReply, RouterError>): boolean {
    if (reply.isErr()) return false;
    if (reply.value.type === 'not_holder') {
      this.options.log.warn(
        'The run log refused the end of a run: another attempt holds its idempotency key.',
      );
    }
    return true;
  }

  /** Removes and returns the record of an open attempt, so that it is ended only once. */
  private takeOpenAttempt({ attempt }: RunGrant): BegunRecord | undefined {
    const record = this.openAttempts.get(attempt);
    this.openAttempts.delete(attempt);
    return record;
  }
}
