import { createHash, randomInt } from 'node:crypto';
import {
  BYTES_PER_TOKEN,
  type CallerError,
  computeSha256Hex,
  createNotRunError,
  type Fingerprint,
  type RequestId,
  toId,
} from '@lovagearch/common';
import { computeBlockKeys } from '@lovagearch/reuse';
import { err, ok, type Result } from 'neverthrow';
import type {
  CallerAccount,
  CallerConfiguration,
  ModelServiceView,
  ModelView,
} from './callerConfiguration.js';
import type { CompletionRequest } from './completionRequest.js';
import type { GenerationPlan } from './generationPlan.js';
import type { RequestClass } from './types.js';

const MAX_RANDOM_SEED = 2 ** 31;

/** A model that an account may use, with its service. */
export interface PermittedModel {
  readonly model: ModelView;
  readonly service: ModelServiceView;
}

/** Finds a model and checks that the account has access to its service. */
export const findPermittedModel = (
  configuration: CallerConfiguration,
  account: CallerAccount,
  name: string,
): Result<PermittedModel, CallerError> => {
  const model = configuration.findModel(name);
  const service = model === undefined ? undefined : configuration.findService(model.service);
  if (model === undefined || service?.type !== 'model') {
    return err(createNotRunError('unknown_model', `model ${JSON.stringify(name)} does not exist`));
  }
  if (!account.services.includes(service.id)) {
    return err(createNotRunError('forbidden', `the account may not use service ${service.id}`));
  }
  return ok({ model, service });
};

/** Computes the fingerprint by which containment attributes crashes to a request (design 4.12). */
export const computeFingerprint = (
  account: string,
  service: string,
  body: string | Uint8Array,
): Fingerprint => {
  const hash = createHash('sha256')
    .update(JSON.stringify([account, service]))
    .update(body);
  return toId<Fingerprint>(hash.digest('hex'));
};

/** Computes the prompt hash that binds a resume token to its prompt. */
export const computePromptHash = (prompt: string): string => computeSha256Hex(prompt).slice(0, 32);

/** A plan before the prompt's cache locations are looked up. */
export type GenerationDraft = Omit<GenerationPlan, 'locations'>;

/** Builds the part of a plan that depends only on the request and the configuration. */
export const buildDraft = (
  requestId: RequestId,
  account: CallerAccount,
  { model, service }: PermittedModel,
  request: CompletionRequest,
): GenerationDraft => {
  const { prompt, maxTokens } = request;
  const promptBytes = Buffer.byteLength(prompt);
  const identity = { account: account.id, model: model.id, weightVersion: model.weightVersion };
  const requestClass: RequestClass = request.requestClass ?? account.defaultClass;
  return {
    requestId,
    account: account.id,
    requestClass,
    service,
    model: model.id,
    weightVersion: model.weightVersion,
    prompt,
    blockKeys: computeBlockKeys(identity, prompt),
    promptTokens: Math.ceil(promptBytes / BYTES_PER_TOKEN),
    promptBytes,
    maxTokens,
    seed: request.seed ?? randomInt(MAX_RANDOM_SEED),
    // The seed is excluded: a caller that resends a request without a seed gets a new random one.
    fingerprint: computeFingerprint(account.id, service.id, `${model.id}\n${prompt}`),
  };
};
