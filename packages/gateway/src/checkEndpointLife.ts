import { setTimeout as waitMs } from 'node:timers/promises';
import type { Endpoint } from '@lovagearch/endpoints';
import type { ConnectionEnd, EndpointLife } from '@lovagearch/exchange';
import { getEndpointStartKey } from './attempt.js';
import { CRASH_CONFIRMATION_MS } from './constants.js';
import type { GatewayContext } from './gatewayContext.js';

/**
 * Finds out whether an endpoint outlived the end of a connection. Nothing may reach the endpoints of an evacuated zone,
 * so that only other connections to them, which are established already, are evidence.
 */
export const checkEndpointLife = async (
  { clusterState, pool }: GatewayContext,
  endpoint: Endpoint,
  end: ConnectionEnd,
): Promise<EndpointLife> => {
  const { address, zone } = endpoint.record;
  const startKey = getEndpointStartKey(endpoint);
  if (!clusterState.evacuatedZones.has(zone)) return pool.checkEndpoint(startKey, address, end);
  await waitMs(CRASH_CONFIRMATION_MS);
  return pool.hasEstablishedConnection(startKey) ? 'running' : 'unknown';
};
