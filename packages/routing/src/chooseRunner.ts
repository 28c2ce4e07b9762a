import {
  assertNever,
  chooseItem,
  computeHash32,
  TOKENS_PER_BLOCK,
  type Random,
} from '@lovagearch/common';
import { selectCandidates } from './candidates.js';
import { NEAR_TIE_COST, NEAR_TIE_SHARE } from './constants.js';
import {
  computeImportMs,
  computeLinkBytes,
  computePrefillMs,
  computeQueueMs,
  computeRoundTripMs,
  getRemainingTokens,
} from './estimates.js';
import type {
  CachedPrefix,
  PolicyWeights,
  RoutingPolicy,
  RoutingRequest,
  RunnerChoice,
  RunnerState,
  ServiceSpeeds,
} from './types.js';

/** Inputs of a routing decision. */
export interface RoutingInput {
  readonly request: RoutingRequest;
  readonly runners: readonly RunnerState[];
  /** Verified locations of cached prefixes, deepest first. */
  readonly prefixes: readonly CachedPrefix[];
  readonly speeds: ServiceSpeeds;
  readonly policy: RoutingPolicy;
  /** Whether the budget of the link between regions allows the request. */
  readonly hasLinkBudget: boolean;
  readonly random: Random;
  /** Sequence number of this decision on the node, for round robin. */
  readonly sequence: number;
  /** Identifies the start of the prompt, for the `prefix_affinity` policy. */
  readonly affinityKey: string;
}

const LATENCY_ONLY_WEIGHTS: PolicyWeights = { ttftWeight: 1, recomputeWeight: 0, linkWeight: 0 };

/** Finds the deepest prefix in the runner's own cache and in a store VM of its region. */
const findReusablePrefixes = (
  input: RoutingInput,
  runner: RunnerState,
): { readonly ownDepth: number; readonly store: CachedPrefix | undefined } => {
  const own = input.prefixes.find(({ kind, holder }) => kind === 'runner' && holder === runner.id);
  const store = input.prefixes.find(
    ({ kind, region }) => kind === 'store' && region === runner.region,
  );
  return { ownDepth: own?.depth ?? 0, store };
};

const createChoice = (
  input: RoutingInput,
  runner: RunnerState,
  prefix: CachedPrefix | undefined,
  importMs: number,
  weights: PolicyWeights,
): RunnerChoice => {
  const { request, speeds } = input;
  const recomputedTokens = getRemainingTokens(request, prefix);
  const linkBytes = computeLinkBytes(request, runner);
  const ttftMs =
    computeRoundTripMs(request, runner) +
    computeQueueMs(runner, speeds) +
    importMs +
    computePrefillMs(recomputedTokens, speeds);
  return {
    runner: runner.id,
    importFrom: prefix?.kind === 'store' ? prefix.holder : undefined,
    fallbackStore: undefined,
    reusedDepth: prefix?.depth ?? 0,
    ttftMs,
    recomputedTokens,
    linkBytes,
    cost:
      weights.ttftWeight * ttftMs +
      weights.recomputeWeight * recomputedTokens +
      weights.linkWeight * linkBytes,
  };
};

/** Returns the store VM if importing its whole prefix is faster than computing the blocks. */
const getFallbackStore = (store: CachedPrefix, speeds: ServiceSpeeds): string | undefined => {
  const prefillMs = computePrefillMs(store.depth * TOKENS_PER_BLOCK, speeds);
  return computeImportMs(store.depth, speeds) < prefillMs ? store.holder : undefined;
};

/** Returns the cheaper way to serve a request on a runner: with an import from a store VM or without. */
const createBestChoice = (
  input: RoutingInput,
  runner: RunnerState,
  weights: PolicyWeights,
): RunnerChoice => {
  const { ownDepth, store } = findReusablePrefixes(input, runner);
  const own: CachedPrefix | undefined =
    ownDepth > 0
      ? { kind: 'runner', holder: runner.id, region: runner.region, depth: ownDepth }
      : undefined;
  const withoutStore = createChoice(input, runner, own, 0, weights);
  if (store === undefined) return withoutStore;
  const withOwn = { ...withoutStore, fallbackStore: getFallbackStore(store, input.speeds) };
  if (store.depth <= ownDepth) return withOwn;
  const importMs = computeImportMs(store.depth - ownDepth, input.speeds);
  const withStore = createChoice(input, runner, store, importMs, weights);
  return withStore.cost < withOwn.cost ? withStore : withOwn;
};

/** Moves a random one of the choices with nearly the best cost to the front. */
const breakTiesRandomly = (ranked: readonly RunnerChoice[], random: Random): RunnerChoice[] => {
  const [best] = ranked;
  if (best === undefined) return [];
  const limit = Math.max(best.cost * (1 + NEAR_TIE_SHARE), best.cost + NEAR_TIE_COST);
  // A choice that recomputes more tokens is never a tie, even for a short prompt.
  const ties = ranked.filter(
    ({ cost, recomputedTokens, linkBytes }) =>
      cost <= limit && recomputedTokens <= best.recomputedTokens && linkBytes <= best.linkBytes,
  );
  const chosen = chooseItem(ties, random) ?? best;
  return [chosen, ...ranked.filter((choice) => choice !== chosen)];
};

const rankByCost = (input: RoutingInput, weights: PolicyWeights): RunnerChoice[] => {
  const { request, speeds, random, hasLinkBudget } = input;
  const candidates = selectCandidates(input.runners, input.prefixes, request, speeds, random);
  const ranked = candidates
    .map((runner) => createBestChoice(input, runner, weights))
    .sort((a, b) => a.cost - b.cost);
  if (hasLinkBudget) return breakTiesRandomly(ranked, random);
  // Without budget the link is used only if the region has no candidate.
  const local = ranked.filter(({ linkBytes }) => linkBytes === 0);
  return breakTiesRandomly(local.length > 0 ? local : ranked, random);
};

const createChoicesInOrder = (
  input: RoutingInput,
  runners: readonly RunnerState[],
): RunnerChoice[] =>
  runners.map((runner) => {
    const { ownDepth } = findReusablePrefixes(input, runner);
    const own: CachedPrefix | undefined =
      ownDepth > 0
        ? { kind: 'runner', holder: runner.id, region: runner.region, depth: ownDepth }
        : undefined;
    return createChoice(input, runner, own, 0, LATENCY_ONLY_WEIGHTS);
  });

const rotate = <Item>(items: readonly Item[], offset: number): Item[] => {
  const start = items.length === 0 ? 0 : offset % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
};

/**
 * Ranks the runners for a request, best first; the others serve as alternatives for retries.
 *
 * @returns choices with estimates in milliseconds, tokens and bytes; empty without runners
 * @example
 * const [best] = chooseRunner(input);
 * if (best === undefined) return refuse('no_endpoint');
 */
export const chooseRunner = (input: RoutingInput): RunnerChoice[] => {
  const { policy, runners, speeds } = input;
  switch (policy.type) {
    case 'cost':
      return rankByCost(input, policy.weights);
    case 'least_loaded': {
      const byQueue = [...runners].sort(
        (a, b) => computeQueueMs(a, speeds) - computeQueueMs(b, speeds),
      );
      return createChoicesInOrder(input, byQueue);
    }
    case 'round_robin':
      return createChoicesInOrder(input, rotate(runners, input.sequence));
    case 'prefix_affinity':
      return createChoicesInOrder(input, rotate(runners, computeHash32(input.affinityKey)));
    default:
      return assertNever(policy);
  }
};
