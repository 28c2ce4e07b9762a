import {
  type CallerError,
  type Clock,
  createNotRunError,
  createUnknownOutcomeError,
  type EndpointId,
  getErrorMessage,
  type Logger,
} from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import { MAX_SERVICE_ATTEMPTS, DEFAULT_RETRY_AFTER_MS } from './callerConstants.js';
import type { DecisionLog } from './decisionLog.js';
import { computeCallHash, type ServiceCall } from './serviceCall.js';
import { selectResponseHeaders } from './serviceHeaders.js';
import type { ServiceCallSender } from './serviceCallSender.js';
import type { Admission, RecordedResponse, RunCoordinator, RunGrant } from './types.js';

/** Components of the node that non-idempotent calls use. */
export interface AtMostOnceCallDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly decisions: DecisionLog;
  readonly admission: Admission;
  readonly runs: RunCoordinator;
  readonly sender: ServiceCallSender;
}

/** Outcome of sending a granted call. */
type SendOutcome =
  | { readonly type: 'answered'; readonly response: RecordedResponse }
  | { readonly type: 'not_sent'; readonly error: CallerError }
  | { readonly type: 'unknown' };

/** Sends non-idempotent calls at most once across all nodes; see section 4.7 of the design. */
export class AtMostOnceCalls {
  private constructor(private readonly dependencies: AtMostOnceCallDependencies) {}

  static create(parts: AtMostOnceCallDependencies): AtMostOnceCalls {
    return new AtMostOnceCalls(parts);
  }

  /**
   * Runs a call under its idempotency key. The begin is durable before the call is sent, the call is
   * sent once before its grant expires, and its response is recorded before the caller receives it.
   *
   * @returns the response of this run, or the recorded response of an earlier run with the same key
   */
  async run(call: ServiceCall, key: string): Promise<Result<RecordedResponse, CallerError>> {
    const { runs, decisions } = this.dependencies;
    const begun = await runs.begin(call.account, key, computeCallHash(call));
    if (begun.isErr()) return err(begun.error);
    if (begun.value.type === 'recorded') {
      decisions.record(call.requestId, { type: 'run_recorded' });
      return ok(begun.value.response);
    }
    const { grant } = begun.value;
    const { attempt } = grant;
    decisions.record(call.requestId, { type: 'run_granted', attempt });
    const outcome = await this.sendGranted(call, grant);
    switch (outcome.type) {
      case 'answered':
        await this.finish(call, grant, outcome.response);
        return ok(outcome.response);
      case 'not_sent':
        await this.release(call, grant);
        return err(outcome.error);
      default:
        runs.abandon(grant);
        decisions.record(call.requestId, { type: 'run_abandoned', attempt });
        return err(
          createUnknownOutcomeError(
            'outcome_unknown',
            'the call may have run; no complete response was received',
          ),
        );
    }
  }

  private async sendGranted(call: ServiceCall, grant: RunGrant): Promise<SendOutcome> {
    try {
      return await this.trySend(call, grant);
    } catch (error) {
      // After an unexpected exception it is not known whether any byte was sent.
      this.dependencies.log.error(
        `Sending call ${call.requestId} threw an exception: ${getErrorMessage(error)}.`,
      );
      return { type: 'unknown' };
    }
  }

  private async trySend(call: ServiceCall, grant: RunGrant): Promise<SendOutcome> {
    const { admission, clock, sender } = this.dependencies;
    const unreachableInstances = new Set<EndpointId>();
    for (let attempt = 1; attempt <= MAX_SERVICE_ATTEMPTS; attempt++) {
      if (attempt > 1 && !admission.tryTakeRetry(call.account)) break;
      const instance = await sender.chooseInstance(call, unreachableInstances);
      if (instance.isErr()) return { type: 'not_sent', error: instance.error };
      // No await may come between this check and the send, or the grant could expire in between.
      if (clock.nowMs() >= grant.sendBeforeMs) {
        const message = 'the grant expired before the call was sent';
        return {
          type: 'not_sent',
          error: createNotRunError('deadline_exceeded', message, DEFAULT_RETRY_AFTER_MS),
        };
      }
      const sent = await sender.send(call, instance.value, grant.attempt);
      if (sent.isOk()) {
        const { status, headers, body } = sent.value;
        return {
          type: 'answered',
          response: { status, headers: selectResponseHeaders(headers), body },
        };
      }
      if (sent.error.type !== 'not_connected') return { type: 'unknown' };
      unreachableInstances.add(instance.value.id);
    }
    const message = `no instance of service ${call.service.id} could be reached`;
    return {
      type: 'not_sent',
      error: createNotRunError('no_endpoint', message, DEFAULT_RETRY_AFTER_MS),
    };
  }

  private async finish(
    call: ServiceCall,
    grant: RunGrant,
    response: RecordedResponse,
  ): Promise<void> {
    const finished = await this.dependencies.runs.finish(grant, response);
    if (finished.isOk()) return;
    // The caller still receives the response; a retry with the same key gets `outcome_unknown`.
    this.dependencies.log.warn(
      `Can't record the response to call ${call.requestId}: ${finished.error.type}.`,
    );
  }

  private async release(call: ServiceCall, grant: RunGrant): Promise<void> {
    const { attempt } = grant;
    const released = await this.dependencies.runs.release(grant);
    if (released.isErr()) {
      this.dependencies.log.warn(
        `Can't release the run of call ${call.requestId}: ${released.error.type}.`,
      );
      return;
    }
    this.dependencies.decisions.record(call.requestId, { type: 'run_released', attempt });
  }
}
