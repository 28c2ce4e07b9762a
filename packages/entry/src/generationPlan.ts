import type {
  AccountId,
  Clock,
  Fingerprint,
  Logger,
  Metrics,
  ModelId,
  RequestId,
  WeightVersion,
} from '@lovagearch/common';
import type { EngineAddress, EngineClient } from '@lovagearch/engine-client';
import type { ModelServiceView } from './callerConfiguration.js';
import type { DecisionLog } from './decisionLog.js';
import type { RunnerSelector } from './runnerSelector.js';
import type {
  Admission,
  Containment,
  EndpointDirectory,
  EndpointView,
  PromptIndex,
  PromptLocation,
  RequestClass,
} from './types.js';

/** Dependencies of generation. */
export interface GenerationParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly engines: EngineClient;
  readonly directory: EndpointDirectory;
  readonly index: PromptIndex;
  readonly admission: Admission;
  readonly containment: Containment;
  readonly selection: RunnerSelector;
  readonly serviceToken: string;
}

/** Parameters of one generation, which are the same for all attempts. */
export interface GenerationPlan {
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly requestClass: RequestClass;
  readonly service: ModelServiceView;
  readonly model: ModelId;
  readonly weightVersion: WeightVersion;
  readonly prompt: string;
  readonly blockKeys: readonly string[];
  readonly promptTokens: number;
  readonly promptBytes: number;
  readonly locations: readonly PromptLocation[];
  readonly maxTokens: number;
  readonly seed: number;
  readonly fingerprint: Fingerprint;
}

/** Priority values of the engine API by request class; 0 is the highest. */
export const ENGINE_PRIORITY_BY_CLASS = { interactive: 0, standard: 1, background: 2 } as const;

/** Returns the address of a runner, with the service token only if the service checks callers. */
export const toEngineAddress = (
  { serviceToken }: GenerationParts,
  service: ModelServiceView,
  runner: Pick<EndpointView, 'url'>,
): EngineAddress => ({
  url: runner.url,
  ...(service.checksCaller ? { serviceToken } : {}),
});
