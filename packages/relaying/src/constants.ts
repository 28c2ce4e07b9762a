/** Peers that one request is offered to. Each that can't take it answers within a round trip as a rule. */
export const MAX_RELAY_TRIES = 3;
/**
 * Age up to which a peer's load digest, or a response that it relayed, shows that it reaches a service, in
 * milliseconds: several digest intervals of a large site.
 */
export const LINK_EVIDENCE_AGE_MS = 1_500;
/** First and longest time for which a peer that can't reach a service either gets no requests for it, in milliseconds. */
export const UNREACHABLE_EXCLUSION_MS = 400;
export const MAX_UNREACHABLE_EXCLUSION_MS = 1_600;
/** The same for a peer that doesn't answer, or that is starting or stopping. */
export const UNAVAILABLE_EXCLUSION_MS = 1_000;
export const MAX_UNAVAILABLE_EXCLUSION_MS = 8_000;
/** Time for which a peer without room gets no requests, in milliseconds. */
export const FULL_EXCLUSION_MS = 200;
/** Time for which a peer of an earlier release, which relays nothing, gets no requests, in milliseconds. */
export const UNSUPPORTED_EXCLUSION_MS = 10_000;
/** Random part of an exclusion, so that the nodes of a zone don't return to a peer at the same moment. */
export const EXCLUSION_JITTER_SHARE = 0.5;
/** Requests in flight that a peer of the own availability zone may have more than one elsewhere in the region. */
export const ZONE_PREFERENCE = 3;
/** The same for a peer of the own region and one of another. */
export const REGION_PREFERENCE = 24;
/** Share of the memory for bodies beyond which a node takes no requests of its peers; the rest is for its own callers. */
export const MAX_BODY_MEMORY_SHARE = 0.6;
/** Delay of the event loop beyond which a node takes no requests of its peers, in milliseconds. */
export const MAX_EVENT_LOOP_DELAY_MS = 500;
/** Requests of peers in progress beyond which a node takes no more; each has a connection and a body. */
export const MAX_RELAYED_REQUESTS = 512;
/** Peers whose links are remembered; deployments have a few hundred nodes. */
export const MAX_KNOWN_PEERS = 1_024;
