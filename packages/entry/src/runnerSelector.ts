import type { ServiceId, ModelId, EndpointId, WeightVersion } from '@lovagearch/common';
import type { KvSource } from '@lovagearch/engine-client';
import type { ModelServiceView } from './callerConfiguration.js';
import { MAX_VIEW_AGE_MS } from './callerConstants.js';
import type {
  EndpointDirectory,
  EndpointView,
  PromptIndex,
  PromptLocation,
  RequestClass,
} from './types.js';

/** Properties of a request that determine the choice of a runner. */
export interface RunnerQuery {
  readonly requestClass: RequestClass;
  readonly service: ModelServiceView;
  readonly model: ModelId;
  readonly weightVersion: WeightVersion;
  readonly blockKeys: readonly string[];
  readonly promptTokens: number;
  readonly promptBytes: number;
  readonly maxTokens: number;
  /** Runners that have already failed or refused this request. */
  readonly excludedRunners: ReadonlySet<EndpointId>;
  /** The only runner that containment allows; undefined for no restriction. */
  readonly requiredRunner: EndpointId | undefined;
}

/** The chosen runner and the estimates behind the choice. */
export interface RunnerChoice {
  readonly runner: EndpointView;
  readonly kvSource: KvSource | undefined;
  /** Blocks that are expected to be reused from a cache. */
  readonly reusedDepth: number;
  readonly estimatedTtftMs: number;
  readonly estimatedRecomputedTokens: number;
  /** Estimated bytes transferred between regions. */
  readonly linkBytes: number;
  readonly reason: string;
}

/** Strategy that picks one of several candidate runners. */
export interface RunnerChooser {
  readonly choose: (
    query: RunnerQuery,
    candidates: readonly EndpointView[],
    locations: readonly PromptLocation[],
  ) => RunnerChoice | undefined;
  /** Records work sent to the chosen runner, which its load reports don't include yet. */
  readonly recordSent: (query: RunnerQuery, choice: RunnerChoice) => void;
}

const listCandidates = (
  directory: EndpointDirectory,
  query: RunnerQuery,
  service: ServiceId,
): EndpointView[] =>
  directory
    .listEndpoints(service)
    .filter(
      (view) =>
        view.kind === 'runner' &&
        view.state === 'ready' &&
        !query.excludedRunners.has(view.id) &&
        (query.requiredRunner === undefined || query.requiredRunner === view.id) &&
        view.models.some(
          ({ model, weightVersion }) =>
            model === query.model && weightVersion === query.weightVersion,
        ),
    );

/** Chooses a runner for each attempt of a request. */
export class RunnerSelector {
  private constructor(
    private readonly directory: EndpointDirectory,
    private readonly index: PromptIndex,
    private readonly chooser: RunnerChooser,
  ) {}

  static create(
    directory: EndpointDirectory,
    index: PromptIndex,
    chooser: RunnerChooser,
  ): RunnerSelector {
    return new RunnerSelector(directory, index, chooser);
  }

  /**
   * Looks up where the prompt is cached. A failed lookup returns no locations, as it only costs
   * cache hits.
   */
  async findLocations(blockKeys: readonly string[]): Promise<readonly PromptLocation[]> {
    if (blockKeys.length === 0) return [];
    try {
      return await this.index.lookup(blockKeys);
    } catch {
      return [];
    }
  }

  /**
   * Chooses a ready runner. A runner whose view is older than 3 s is first checked by a direct
   * call, so that a node with an outdated view sends no new work to a runner that is leaving.
   *
   * @returns undefined if no runner is left
   */
  async choose(
    query: RunnerQuery,
    locations: readonly PromptLocation[],
  ): Promise<RunnerChoice | undefined> {
    const unusable = new Set<EndpointId>();
    for (;;) {
      const candidates = listCandidates(this.directory, query, query.service.id).filter(
        ({ id }) => !unusable.has(id),
      );
      const choice = this.chooser.choose(query, candidates, locations);
      if (choice === undefined) return undefined;
      const { id } = choice.runner;
      if (await this.isConfirmedReady(id)) {
        this.chooser.recordSent(query, choice);
        return choice;
      }
      unusable.add(id);
    }
  }

  /** Checks the current view, since the listed views may be up to a second old. */
  private async isConfirmedReady(id: EndpointId): Promise<boolean> {
    const view = this.directory.getEndpoint(id);
    if (view?.state !== 'ready') return false;
    return view.confirmedAgeMs <= MAX_VIEW_AGE_MS || this.directory.verifyReady(id);
  }
}
