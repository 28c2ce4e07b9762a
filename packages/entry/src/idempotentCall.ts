import {
  type CallerError,
  createNotRunError,
  createUnknownOutcomeError,
  type EndpointId,
} from '@lovagearch/common';
import type { ServiceResponse } from '@lovagearch/service-client';
import { err, ok, type Result } from 'neverthrow';
import { MAX_SERVICE_ATTEMPTS, DEFAULT_RETRY_AFTER_MS } from './callerConstants.js';
import type { ServiceCall } from './serviceCall.js';
import type { ServiceCallSender } from './serviceCallSender.js';
import type { Admission } from './types.js';

/**
 * Sends an idempotent call and retries it on another instance after a failure, within the retry
 * budget of the account.
 *
 * @returns the response; the error is `not_run` only if no attempt sent a byte
 */
export const sendIdempotentCall = async (
  sender: ServiceCallSender,
  admission: Admission,
  call: ServiceCall,
): Promise<Result<ServiceResponse, CallerError>> => {
  const failedInstances = new Set<EndpointId>();
  let mayHaveRun = false;
  for (let attempt = 1; attempt <= MAX_SERVICE_ATTEMPTS; attempt++) {
    if (attempt > 1 && !admission.tryTakeRetry(call.account)) break;
    const instance = await sender.chooseInstance(call, failedInstances);
    if (instance.isErr()) {
      if (!mayHaveRun) return err(instance.error);
      break;
    }
    const sent = await sender.send(call, instance.value);
    if (sent.isOk()) return ok(sent.value);
    failedInstances.add(instance.value.id);
    if (sent.error.type !== 'not_connected') mayHaveRun = true;
  }
  if (mayHaveRun) {
    const message = `no instance of service ${call.service.id} returned a complete response`;
    return err(createUnknownOutcomeError('endpoint_failed', message));
  }
  const message = `no instance of service ${call.service.id} could be reached`;
  return err(createNotRunError('no_endpoint', message, DEFAULT_RETRY_AFTER_MS));
};
