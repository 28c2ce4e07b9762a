import { type CallerError, createNotRunError } from '@lovagearch/common';
import type { IncomingHttpHeaders } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type {
  CallerAccount,
  CallerConfiguration,
  PlainServiceView,
} from './callerConfiguration.js';
import { DEFAULT_DEADLINE_MS } from './callerConstants.js';
import type { DecisionLog } from './decisionLog.js';
import type { CallerContext } from './generationOpener.js';
import { computeFingerprint } from './generationPreparation.js';
import { sendIdempotentCall } from './idempotentCall.js';
import type { AtMostOnceCalls } from './atMostOnceCall.js';
import { computeCallHash, type ServiceCall } from './serviceCall.js';
import { selectResponseHeaders } from './serviceHeaders.js';
import { findRoute, isNormalizedPath } from './serviceRoutes.js';
import type { ServiceCallSender } from './serviceCallSender.js';
import type { Admission, RecordedResponse } from './types.js';

/** Visible ASCII characters: those that RFC 8941 allows in strings, except the space. */
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** A call as received from the caller, before validation. */
export interface ReceivedCall {
  readonly serviceName: string;
  readonly method: string;
  /** Path within the service, without query. */
  readonly path: string;
  /** Query including the question mark, or an empty string. */
  readonly query: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array | undefined;
}

export interface ServiceRequestDependencies {
  readonly configuration: CallerConfiguration;
  readonly admission: Admission;
  readonly decisions: DecisionLog;
  readonly sender: ServiceCallSender;
  readonly atMostOnceCalls: AtMostOnceCalls;
}

const parseIdempotencyKey = (
  headers: IncomingHttpHeaders,
): Result<string | undefined, CallerError> => {
  const key = headers['idempotency-key'];
  if (key === undefined) return ok(undefined);
  if (typeof key === 'string' && IDEMPOTENCY_KEY_PATTERN.test(key)) return ok(key);
  const message = 'Idempotency-Key must have 1 to 128 visible ASCII characters';
  return err(createNotRunError('bad_request', message));
};

/**
 * Handles requests to `/services/{service}/*`: validates and admits a call and sends it with retries
 * if its route is idempotent, otherwise at most once.
 */
export class ServiceRequestHandler {
  private constructor(private readonly dependencies: ServiceRequestDependencies) {}

  static create(parts: ServiceRequestDependencies): ServiceRequestHandler {
    return new ServiceRequestHandler(parts);
  }

  /** Handles one call. Validation errors are `not_run`. */
  async handle(
    context: CallerContext,
    received: ReceivedCall,
  ): Promise<Result<RecordedResponse, CallerError>> {
    const validated = this.validateCall(context, received);
    if (validated.isErr()) return err(validated.error);
    const call = validated.value;
    const { account, requestId, service } = call;
    const { admission, decisions } = this.dependencies;
    decisions.record(requestId, { type: 'accepted', account, service: service.id });
    const requestClass = context.account.defaultClass;
    const admitted = await admission.admit({
      requestId,
      account,
      service: service.id,
      requestClass,
      promptTokens: 0,
      deadlineMs: DEFAULT_DEADLINE_MS[requestClass],
    });
    if (admitted.isErr()) return err(admitted.error);
    try {
      return await this.sendCall(call);
    } finally {
      admitted.value.release();
    }
  }

  private async sendCall(call: ServiceCall): Promise<Result<RecordedResponse, CallerError>> {
    const { atMostOnceCalls, sender, admission, decisions } = this.dependencies;
    const { idempotencyKey, route } = call;
    const response =
      !route.idempotent && idempotencyKey !== undefined
        ? await atMostOnceCalls.run(call, idempotencyKey)
        : await sendIdempotentCall(sender, admission, call);
    return response.map(({ status, headers, body }) => {
      decisions.record(call.requestId, { type: 'completed', status, detail: 'service answer' });
      return { status, headers: selectResponseHeaders(headers), body };
    });
  }

  private validateCall(
    context: CallerContext,
    received: ReceivedCall,
  ): Result<ServiceCall, CallerError> {
    const service = this.findPermittedService(context.account, received.serviceName);
    if (service.isErr()) return err(service.error);
    if (!isNormalizedPath(received.path)) {
      return err(createNotRunError('bad_request', 'the path is not in normalized form'));
    }
    const key = parseIdempotencyKey(received.headers);
    if (key.isErr()) return err(key.error);
    const route = findRoute(service.value, received.method, received.path);
    if (!route.idempotent && key.value === undefined) {
      const message = 'this route is not idempotent; the Idempotency-Key header is required';
      return err(createNotRunError('idempotency_key_required', message));
    }
    const { method, headers, body } = received;
    const path = `${received.path}${received.query}`;
    const callFields = { service: service.value, method, path, headers, body };
    const { id } = context.account;
    const hash = computeCallHash(callFields);
    const fingerprint = computeFingerprint(id, service.value.id, hash);
    return ok({
      ...callFields,
      route,
      requestId: context.requestId,
      account: id,
      idempotencyKey: key.value,
      fingerprint,
    });
  }

  private findPermittedService(
    account: CallerAccount,
    name: string,
  ): Result<PlainServiceView, CallerError> {
    const service = this.dependencies.configuration.findService(name);
    if (service?.type !== 'plain') {
      const message = `service ${JSON.stringify(name)} does not exist`;
      return err(createNotRunError('not_found', message));
    }
    if (!account.services.includes(service.id)) {
      return err(
        createNotRunError('forbidden', `the account is not permitted to use service ${service.id}`),
      );
    }
    return ok(service);
  }
}
