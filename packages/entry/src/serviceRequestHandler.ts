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
import type { OnceOnlyCalls } from './onceOnlyCall.js';
import { computeCallHash, type ServiceCall } from './serviceCall.js';
import { selectAnswerHeaders } from './serviceHeaders.js';
import { findRoute, isPlainPath } from './serviceRoutes.js';
import type { ServiceSending } from './serviceSending.js';
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

export interface ServiceRequestParts {
  readonly configuration: CallerConfiguration;
  readonly admission: Admission;
  readonly decisions: DecisionLog;
  readonly sending: ServiceSending;
  readonly onceOnly: OnceOnlyCalls;
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
  private constructor(private readonly parts: ServiceRequestParts) {}

  static create(parts: ServiceRequestParts): ServiceRequestHandler {
    return new ServiceRequestHandler(parts);
  }

  /** Handles one call. Validation errors are `not_run`. */
  async handle(
    context: CallerContext,
    received: ReceivedCall,
  ): Promise<Result<RecordedResponse, CallerError>> {
    const checked = this.checkCall(context, received);
    if (checked.isErr()) return err(checked.error);
    const call = checked.value;
    const { account, requestId, service } = call;
    const { admission, decisions } = this.parts;
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
      return await this.run(call);
    } finally {
      admitted.value.release();
    }
  }

  private async run(call: ServiceCall): Promise<Result<RecordedResponse, CallerError>> {
    const { onceOnly, sending, admission, decisions } = this.parts;
    const { idempotencyKey, route } = call;
    const answered =
      !route.idempotent && idempotencyKey !== undefined
        ? await onceOnly.run(call, idempotencyKey)
        : await sendIdempotentCall(sending, admission, call);
    return answered.map(({ status, headers, body }) => {
      decisions.record(call.requestId, { type: 'completed', status, detail: 'service answer' });
      return { status, headers: selectAnswerHeaders(headers), body };
    });
  }

  private checkCall(
    context: CallerContext,
    received: ReceivedCall,
  ): Result<ServiceCall, CallerError> {
    const service = this.findPermittedService(context.account, received.serviceName);
    if (service.isErr()) return err(service.error);
    if (!isPlainPath(received.path)) {
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
    const parts = { service: service.value, method, path, headers, body };
    const { id } = context.account;
    const hash = computeCallHash(parts);
    const fingerprint = computeFingerprint(id, service.value.id, hash);
    return ok({
      ...parts,
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
    const service = this.parts.configuration.findService(name);
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
