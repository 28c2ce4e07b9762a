import type { Clock, Random } from '@lovagearch/common';
import type { KvSource } from '@lovagearch/engine-client';
import {
  type RunnerChoice as RoutingChoice,
  chooseRunner,
  type LinkBudget,
  UnreportedLoadTracker,
  type RoutingPolicy,
  type RunnerState,
} from '@lovagearch/routing';
import type { RunnerChoice, RunnerChooser, RunnerQuery } from './runnerSelector.js';
import type { EndpointDirectory, EndpointView, NodeIdentity, PromptLocation } from './types.js';

export interface RoutingChooserOptions {
  readonly identity: NodeIdentity;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly random: Random;
  /** Routing policy, `cost` by default. Other policies serve as baselines in benchmarks. */
  readonly routingPolicy?: RoutingPolicy['type'] | undefined;
  /** This node's share of the bandwidth between regions; undefined for no limit. */
  readonly linkBudget?: LinkBudget | undefined;
}

const formatReason = (choice: RoutingChoice): string => {
  if (choice.importFrom !== undefined) return `imports ${choice.reusedDepth} blocks`;
  return choice.reusedDepth > 0 ? `holds ${choice.reusedDepth} blocks` : 'least cost without cache';
};

/**
 * Chooses runners with the `routing` package. Work that this node has sent but that load reports
 * don't include yet is added to the reported load.
 */
export class RoutingChooser implements RunnerChooser {
  private readonly unreportedLoad = UnreportedLoadTracker.create();

  private sequence = 0;

  private constructor(private readonly options: RoutingChooserOptions) {}

  static create(options: RoutingChooserOptions): RoutingChooser {
    return new RoutingChooser(options);
  }

  /** Chooses a runner by the routing policy; undefined without candidates. */
  readonly choose = (
    query: RunnerQuery,
    candidates: readonly EndpointView[],
    locations: readonly PromptLocation[],
  ): RunnerChoice | undefined => {
    const { identity, random, routingPolicy: type = 'cost' } = this.options;
    this.sequence += 1;
    const [best] = chooseRunner({
      request: { ...query, region: identity.region, zone: identity.zone },
      runners: candidates.map((view) => this.createRunnerState(view)),
      prefixes: this.filterUsableLocations(locations),
      speeds: query.service,
      policy: type === 'cost' ? { type, weights: query.service.policy } : { type },
      hasLinkBudget: this.hasLinkBudget(query),
      random,
      sequence: this.sequence,
      affinityKey: query.blockKeys[0] ?? '',
    });
    const runner = candidates.find(({ id }) => id === best?.runner);
    if (best === undefined || runner === undefined) return undefined;
    return {
      runner,
      kvSource: this.createKvSource(best, locations),
      reusedDepth: best.reusedDepth,
      estimatedTtftMs: best.ttftMs,
      estimatedRecomputedTokens: best.recomputedTokens,
      linkBytes: best.linkBytes,
      reason: formatReason(best),
    };
  };

  readonly recordSent = (_query: RunnerQuery, choice: RunnerChoice): void => {
    const { clock, linkBudget } = this.options;
    const nowMs = clock.nowMs();
    this.unreportedLoad.recordSent(choice.runner.id, choice.estimatedRecomputedTokens, nowMs);
    if (choice.linkBytes > 0) linkBudget?.take(choice.linkBytes, nowMs);
  };

  private createRunnerState({ id, region, zone, load }: EndpointView): RunnerState {
    const nowMs = this.options.clock.nowMs();
    const sampleAgeMs = load.ageMs;
    const unreportedTokens = this.unreportedLoad.getUnreportedTokens(id, sampleAgeMs, nowMs);
    return {
      id,
      region,
      zone,
      queuedPromptTokens: load.queuedPromptTokens + unreportedTokens,
      activeSequences:
        load.activeSequences + this.unreportedLoad.getUnreportedSequences(id, sampleAgeMs, nowMs),
    };
  }

  /**
   * Drops locations on runners that have restarted since the report, and on store VMs that aren't
   * live.
   */
  private filterUsableLocations(locations: readonly PromptLocation[]): PromptLocation[] {
    const { directory } = this.options;
    return locations.filter(({ kind, holder, boot, region }) =>
      kind === 'runner'
        ? directory.getEndpoint(holder)?.boot === boot
        : directory.listStores(region).some(({ id, isLive }) => id === holder && isLive),
    );
  }

  private hasLinkBudget({ requestClass, promptBytes }: RunnerQuery): boolean {
    const { clock, linkBudget } = this.options;
    return linkBudget?.hasRoom(requestClass, promptBytes, clock.nowMs()) ?? true;
  }

  private createKvSource(
    { importFrom, fallbackStore, runner }: RoutingChoice,
    locations: readonly PromptLocation[],
  ): KvSource | undefined {
    const storeId = importFrom ?? fallbackStore;
    const { directory } = this.options;
    const location = locations.find(({ kind, holder }) => kind === 'store' && holder === storeId);
    if (location === undefined) return undefined;
    const store = directory.listStores(location.region).find(({ id }) => id === storeId);
    if (store === undefined) return undefined;
    const runnerLocation = locations.find(
      ({ kind, holder }) => kind === 'runner' && holder === runner,
    );
    return {
      url: store.url,
      segmentId: location.tailKey,
      sha256: location.sha256,
      fromDepth: runnerLocation?.depth ?? 0,
      depth: location.depth,
    };
  }
}
