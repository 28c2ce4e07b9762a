import {
  createNotRunError,
  type CallerError,
  type EndpointId,
  type Logger,
} from '@lovagearch/common';
import type { ServiceClient, ServiceError, ServiceResponse } from '@lovagearch/service-client';
import { err, ok, type Result } from 'neverthrow';
import { DEFAULT_RETRY_AFTER_MS } from './callerConstants.js';
import type { DecisionLog } from './decisionLog.js';
import type { ServiceCall } from './serviceCall.js';
import { buildCallHeaders } from './serviceHeaders.js';
import type { ServiceInstanceSelector } from './serviceInstanceSelector.js';
import type { Containment, EndpointDirectory, EndpointView } from './types.js';

/** Components of the node that are needed to send calls to plain services. */
export interface ServiceCallSenderDependencies {
  readonly log: Logger;
  readonly decisions: DecisionLog;
  readonly services: ServiceClient;
  readonly directory: EndpointDirectory;
  readonly containment: Containment;
  readonly instances: ServiceInstanceSelector;
  readonly serviceToken: string;
}

/** Sends single attempts of calls to instances of plain services and records their outcomes. */
export class ServiceCallSender {
  private constructor(private readonly dependencies: ServiceCallSenderDependencies) {}

  static create(parts: ServiceCallSenderDependencies): ServiceCallSender {
    return new ServiceCallSender(parts);
  }

  /**
   * Selects an instance that containment allows for the call.
   *
   * @returns the instance; `no_endpoint` if none is available, `request_quarantined` if the call is
   *   suspected of crashing endpoints
   */
  async chooseInstance(
    call: ServiceCall,
    excluded: ReadonlySet<EndpointId>,
  ): Promise<Result<EndpointView, CallerError>> {
    const contained = this.dependencies.containment.check(call.fingerprint);
    if (contained.type === 'quarantined') return err(contained.error);
    const onlyOn = contained.type === 'only_on' ? contained.endpoint : undefined;
    const instance = await this.dependencies.instances.choose(call.service.id, excluded, onlyOn);
    if (instance !== undefined) return ok(instance);
    const message = `no instance of service ${call.service.id} could be reached`;
    return err(createNotRunError('no_endpoint', message, DEFAULT_RETRY_AFTER_MS));
  }

  /**
   * Sends a call to an instance once.
   *
   * @param attempt id of the at-most-once attempt, if the call is non-idempotent
   * @returns the complete response; after any error except `not_connected` the call may have run
   */
  async send(
    call: ServiceCall,
    instance: EndpointView,
    attempt?: string,
  ): Promise<Result<ServiceResponse, ServiceError>> {
    const { dependencies: parts } = this;
    const endpoint = instance.id;
    parts.decisions.record(call.requestId, { type: 'sent', endpoint, attempt });
    parts.containment.recordStart(endpoint, call.fingerprint);
    const recordCallEnd = parts.instances.trackCall(endpoint);
    const sent = await parts.services.send(instance.url, {
      method: call.method,
      path: call.path,
      headers: buildCallHeaders(call.headers, {
        requestId: call.requestId,
        account: call.account,
        idempotencyKey: call.idempotencyKey,
        serviceToken: call.service.checksCaller ? parts.serviceToken : undefined,
      }),
      body: call.body,
      timeoutMs: call.route.timeoutMs,
      // The service may have closed an idle connection unnoticed. On a new connection, a failure to
      // connect proves that nothing was sent.
      freshConnection: attempt !== undefined,
    });
    recordCallEnd();
    if (sent.isErr()) this.recordFailure(call, endpoint, sent.error);
    else {
      parts.containment.recordEnd(endpoint, call.fingerprint, 'completed');
      parts.directory.reportResponse(endpoint);
    }
    return sent;
  }

  private recordFailure(call: ServiceCall, endpoint: EndpointId, error: ServiceError): void {
    const { containment, directory, log } = this.dependencies;
    log.warn(`Call ${call.requestId} to ${endpoint} failed: ${error.type}.`);
    const hasLostConnection = error.type === 'connection_lost';
    containment.recordEnd(endpoint, call.fingerprint, hasLostConnection ? 'crashed' : 'other');
    if (hasLostConnection || error.type === 'not_connected') directory.reportFailure(endpoint);
  }
}
