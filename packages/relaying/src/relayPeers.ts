import { BoundedMap, type Random } from '@lovagearch/common';
import {
  FULL_EXCLUSION_MS,
  LINK_EVIDENCE_AGE_MS,
  MAX_KNOWN_PEERS,
  MAX_UNAVAILABLE_EXCLUSION_MS,
  MAX_UNREACHABLE_EXCLUSION_MS,
  REGION_PREFERENCE,
  UNAVAILABLE_EXCLUSION_MS,
  UNREACHABLE_EXCLUSION_MS,
  UNSUPPORTED_EXCLUSION_MS,
  ZONE_PREFERENCE,
} from './constants.js';
import { PeerExclusion } from './peerExclusion.js';

/** A node that may carry requests of this one. */
export interface RelayPeer {
  readonly name: string;
  /** Host and port on which it serves peers. */
  readonly address: string;
  readonly zone: string;
}

/**
 * What became of a request that was offered to a peer. `carried`: the peer handled it. `disagreed`: its configuration
 * doesn't allow the request. `full`: it has no room. `unavailable`: it doesn't answer, or is starting or stopping.
 * `unreachable`: it can't reach the service either. `unsupported`: it runs a release that relays nothing.
 */
export type RelayResult =
  'carried' | 'disagreed' | 'full' | 'unavailable' | 'unreachable' | 'unsupported';

/** How a peer is known to reach a service: not at all, by its load digests, or by requests that it carried. */
export type LinkEvidence = 'carried' | 'digest' | 'none';

export type RelayChoice =
  | { readonly type: 'peer'; readonly peer: RelayPeer; readonly evidence: LinkEvidence }
  | {
      readonly type: 'none';
      /** `no_peers`: there are none. `unreachable`: those that answer can't reach the service either. */
      readonly reason: 'full' | 'no_peers' | 'unavailable' | 'unreachable';
      /** Time until the first peer may be asked again, in milliseconds; undefined if there is none. */
      readonly retryInMs: number | undefined;
    };

export interface RelayChoiceInput {
  readonly service: string;
  readonly peers: readonly RelayPeer[];
  /** Names of the peers that the request was offered to. */
  readonly excluded: ReadonlySet<string>;
  readonly nowMs: number;
}

export interface RelayPeersOptions {
  readonly zone: string;
  readonly region: string;
  readonly regionByZone: ReadonlyMap<string, string>;
  readonly random: Random;
}

/** What is known of a peer's links to the endpoints of one service. */
interface ServiceLinks {
  readonly unreachable: PeerExclusion;
  digestAtMs: number;
  carriedAtMs: number;
}

interface PeerState {
  inFlight: number;
  readonly unavailable: PeerExclusion;
  readonly unsupported: PeerExclusion;
  readonly full: PeerExclusion;
  readonly services: Map<string, ServiceLinks>;
}

const createServiceLinks = (): ServiceLinks => ({
  unreachable: PeerExclusion.create({
    firstMs: UNREACHABLE_EXCLUSION_MS,
    longestMs: MAX_UNREACHABLE_EXCLUSION_MS,
  }),
  digestAtMs: Number.NEGATIVE_INFINITY,
  carriedAtMs: Number.NEGATIVE_INFINITY,
});

const createPeerState = (): PeerState => ({
  inFlight: 0,
  unavailable: PeerExclusion.create({
    firstMs: UNAVAILABLE_EXCLUSION_MS,
    longestMs: MAX_UNAVAILABLE_EXCLUSION_MS,
  }),
  unsupported: PeerExclusion.create({
    firstMs: UNSUPPORTED_EXCLUSION_MS,
    longestMs: UNSUPPORTED_EXCLUSION_MS,
  }),
  full: PeerExclusion.create({ firstMs: FULL_EXCLUSION_MS, longestMs: FULL_EXCLUSION_MS }),
  services: new Map(),
});

/** Why a peer gets no request now. */
interface Unavailability {
  readonly reason: 'full' | 'unavailable' | 'unreachable';
  readonly endMs: number;
}

/**
 * The peers of a node that can't reach endpoints, and what is known of their own links. A peer that failed gets no
 * requests for a while, and a single one afterwards until that has succeeded.
 *
 * @example
 * const choice = relayPeers.choose({ service, peers, excluded: new Set(), nowMs });
 * if (choice.type === 'peer') relayPeers.recordStarted(choice.peer.name);
 */
export class RelayPeers {
  private readonly states = BoundedMap.create<string, PeerState>(MAX_KNOWN_PEERS);

  private constructor(private readonly options: RelayPeersOptions) {}

  static create(options: RelayPeersOptions): RelayPeers {
    return new RelayPeers(options);
  }

  /** Chooses the peer with the fewest requests of this node, near ones first, among those that reach the service. */
  choose({ service, peers, excluded, nowMs }: RelayChoiceInput): RelayChoice {
    let best: { readonly peer: RelayPeer; readonly cost: number } | undefined;
    let hasLinked = false;
    let first: Unavailability | undefined;
    let hasUnreachable = false;
    for (const peer of peers) {
      if (excluded.has(peer.name)) continue;
      const unavailability = this.findUnavailability(peer.name, service, nowMs);
      if (unavailability !== undefined) {
        hasUnreachable ||= unavailability.reason === 'unreachable';
        if (first === undefined || unavailability.endMs < first.endMs) first = unavailability;
        continue;
      }
      const isLinked = this.getEvidence(peer.name, service, nowMs) !== 'none';
      // A peer of unknown links is asked only if there is none that reaches the service.
      if (hasLinked && !isLinked) continue;
      const cost = this.computeCost(peer);
      if (best === undefined || (isLinked && !hasLinked) || cost < best.cost) best = { peer, cost };
      hasLinked ||= isLinked;
    }
    if (best !== undefined) {
      const { peer } = best;
      return { type: 'peer', peer, evidence: this.getEvidence(peer.name, service, nowMs) };
    }
    if (first === undefined) return { type: 'none', reason: 'no_peers', retryInMs: undefined };
    return {
      type: 'none',
      reason: hasUnreachable ? 'unreachable' : first.reason,
      retryInMs: Math.max(0, first.endMs - nowMs),
    };
  }

  /** Returns how a peer is known to reach a service. */
  getEvidence(name: string, service: string, nowMs: number): LinkEvidence {
    const links = this.states.peek(name)?.services.get(service);
    if (links === undefined) return 'none';
    if (nowMs - links.carriedAtMs <= LINK_EVIDENCE_AGE_MS) return 'carried';
    return nowMs - links.digestAtMs <= LINK_EVIDENCE_AGE_MS ? 'digest' : 'none';
  }

  /** Records that a peer's load digest has a recent report of an endpoint of the service. */
  recordDigest(name: string, service: string, nowMs: number): void {
    this.getServiceLinks(name, service).digestAtMs = nowMs;
  }

  recordStarted(name: string): void {
    this.getState(name).inFlight += 1;
  }

  recordEnded(name: string): void {
    const state = this.getState(name);
    state.inFlight = Math.max(0, state.inFlight - 1);
  }

  /** Records what became of a request that was offered to a peer. */
  recordResult(name: string, service: string, result: RelayResult, nowMs: number): void {
    const { random } = this.options;
    const state = this.getState(name);
    const links = this.getServiceLinks(name, service);
    if (result !== 'unavailable') state.unavailable.clear();
    switch (result) {
      case 'carried':
        links.carriedAtMs = nowMs;
        links.unreachable.clear();
        state.unsupported.clear();
        state.full.clear();
        return;
      case 'disagreed':
        return;
      case 'full':
        state.full.recordFailure(nowMs, random);
        return;
      case 'unavailable':
        state.unavailable.recordFailure(nowMs, random);
        return;
      case 'unreachable':
        links.carriedAtMs = Number.NEGATIVE_INFINITY;
        links.digestAtMs = Number.NEGATIVE_INFINITY;
        links.unreachable.recordFailure(nowMs, random);
        return;
      case 'unsupported':
        state.unsupported.recordFailure(nowMs, random);
        return;
      default:
        result satisfies never;
    }
  }

  private findUnavailability(
    name: string,
    service: string,
    nowMs: number,
  ): Unavailability | undefined {
    const state = this.states.peek(name);
    if (state === undefined) return undefined;
    const { unavailable, unsupported, full, inFlight } = state;
    const unreachable = state.services.get(service)?.unreachable;
    if (unsupported.isActive(nowMs)) return { reason: 'unavailable', endMs: unsupported.endMs };
    if (unavailable.isActive(nowMs)) return { reason: 'unavailable', endMs: unavailable.endMs };
    if (unreachable?.isActive(nowMs) === true)
      return { reason: 'unreachable', endMs: unreachable.endMs };
    if (full.isActive(nowMs)) return { reason: 'full', endMs: full.endMs };
    // One request shows whether a peer that failed is well again.
    if (inFlight > 0 && unreachable?.hasFailed === true)
      return { reason: 'unreachable', endMs: nowMs };
    if (inFlight > 0 && unavailable.hasFailed) return { reason: 'unavailable', endMs: nowMs };
    return undefined;
  }

  private computeCost({ name, zone }: RelayPeer): number {
    const { options } = this;
    // The random part breaks ties, so that nodes with the same view don't all choose the same peer.
    const load = (this.states.peek(name)?.inFlight ?? 0) + options.random();
    if (zone === options.zone) return load;
    const isSameRegion = options.regionByZone.get(zone) === options.region;
    return load + (isSameRegion ? ZONE_PREFERENCE : REGION_PREFERENCE);
  }

  private getState(name: string): PeerState {
    const known = this.states.peek(name);
    if (known !== undefined) return known;
    const created = createPeerState();
    this.states.set(name, created);
    return created;
  }

  private getServiceLinks(name: string, service: string): ServiceLinks {
    const { services } = this.getState(name);
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = createServiceLinks();
    services.set(service, created);
    return created;
  }
}
