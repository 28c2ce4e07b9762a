import type { LoadDigestEntry } from '@lovagearch/endpoints';
import type { ConnectionPool } from '@lovagearch/exchange';
import type { RelayPeer, RelayPeers } from '@lovagearch/relaying';
import type { ClusterState } from '../clusterState.js';
import type { GatewayContext } from '../gatewayContext.js';

/** What all relayed requests of this node share. */
export interface Relaying {
  readonly peers: RelayPeers;
  /** Connections to peers that carry requests. */
  readonly pool: ConnectionPool;
  /** Requests of peers in progress at this node. */
  acceptedRequests: number;
}

/** Lists the nodes that may carry requests of this one. */
export const listRelayPeers = (clusterState: ClusterState, nodeName: string): RelayPeer[] => {
  const peers: RelayPeer[] = [];
  for (const [name, { address, zone }] of clusterState.listPeers())
    if (name !== nodeName) peers.push({ name, address, zone });
  return peers;
};

/** Records which services a peer reaches, by the endpoints from which it has a recent load report of its own. */
export const recordPeerLinks = (
  { links, relaying, clusterState, clock }: GatewayContext,
  peer: string,
  entries: readonly LoadDigestEntry[],
): void => {
  if (!links.hasLost) return;
  for (const { endpoint: key, reportAgeMs } of entries) {
    if (reportAgeMs < 0) continue;
    const endpoint = clusterState.endpoints.findEndpointByDigestKey(key);
    if (endpoint !== undefined)
      relaying.peers.recordDigest(peer, endpoint.record.service, clock.nowMs());
  }
};
