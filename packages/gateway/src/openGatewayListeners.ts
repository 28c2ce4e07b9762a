import { ADDRESS_WAIT_MARGIN_MS, type AddressError, type Clock } from '@lovagearch/common';
import type { TableMirror } from '@lovagearch/mirror';
import type { StoreIndex } from '@lovagearch/reuse';
import { err, ok, type Result } from 'neverthrow';
import type { CallerServer } from './callerServer.js';
import type { ClusterState } from './clusterState.js';
import type { ConnectionAdmission } from './connectionAdmission.js';
import { GatewayListeners } from './gatewayListeners.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import { LoadSharing, type LoadSharingDependencies } from './loadSharing.js';
import { startMetricsServer, startPeerServer, startReadinessServer } from './managementServer.js';
import type { OriginSharing } from './originSharing.js';
import type { GatewaySettings } from './types.js';
import type { VersionKnowledge } from './versionKnowledge.js';
import type { ExplainRequest } from './whereRoute.js';

/** What the listeners of a gateway serve. */
export interface ServedParts {
  readonly settings: GatewaySettings;
  /** Path of the load balancer's readiness check. */
  readonly readinessPath: string;
  readonly isReady: () => boolean;
  readonly server: CallerServer;
  readonly admission: ConnectionAdmission;
  readonly mirrors: readonly TableMirror[];
  /** Whether peers may get the copy of a table now. */
  readonly isServable: (table: string) => boolean;
  readonly findCacheStoreIndex: (address: string) => StoreIndex | undefined;
  readonly indexClock: Clock;
  readonly explain: ExplainRequest;
  readonly metrics: GatewayMetrics;
  readonly clusterState: ClusterState;
  readonly originSharing: OriginSharing;
  readonly versionKnowledge: Pick<VersionKnowledge, 'createStatement'>;
  /** Called with each load digest of a peer. */
  readonly onDigest: LoadSharingDependencies['onDigest'];
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/**
 * Opens the listeners of a gateway. It waits for the addresses that callers, the load balancer and peers use, as long
 * as a predecessor may hold them; metrics and load reports follow in the background.
 *
 * @returns the open listeners, or the error of the first address that can't be obtained
 * @example
 * const listeners = await openGatewayListeners(parts);
 * if (listeners.isErr()) throw new AddressUnavailableError(listeners.error);
 * await listeners.value.close();
 */
export const openGatewayListeners = async (
  parts: ServedParts,
): Promise<Result<GatewayListeners, AddressError>> => {
  const { settings, server, admission, mirrors, clusterState, originSharing, clock, log } = parts;
  const { readinessAddress, peerAddress, callerAddress, loadAddress, nodeName, zone } = settings;
  const listeners = GatewayListeners.create({
    maxWaitMs: settings.bounds.shutdownGraceMs + ADDRESS_WAIT_MARGIN_MS,
    clock,
    log,
  });
  const opened = await listeners.openAll([
    {
      name: 'readiness',
      address: readinessAddress,
      open: () =>
        startReadinessServer(readinessAddress, parts.readinessPath, parts.isReady, admission),
    },
    {
      name: 'peers',
      address: peerAddress,
      open: () =>
        startPeerServer(
          peerAddress,
          mirrors,
          clock,
          parts.isServable,
          parts.findCacheStoreIndex,
          parts.indexClock,
          parts.explain,
          (maxAgeMs, isStoreReadWanted) =>
            parts.versionKnowledge.createStatement(maxAgeMs, isStoreReadWanted),
          {
            serve: (incoming, response) => server.serveRelayed(incoming, response),
            getMaxBodyBytes: () => server.bodyLimitBytes,
          },
          admission,
        ),
    },
    {
      // The last one: a predecessor stops to listen for callers long before its end.
      name: 'callers',
      address: callerAddress,
      open: async () => {
        await server.listen(callerAddress);
        return { close: () => server.stopListening() };
      },
    },
  ]);
  if (opened.isErr()) return err(opened.error);
  const metricsAddress = { host: callerAddress.host, port: settings.metricsPort };
  listeners.openInBackground({
    name: 'metrics',
    address: metricsAddress,
    open: () => startMetricsServer(metricsAddress, parts.metrics, admission),
  });
  listeners.openInBackground({
    name: 'load reports',
    address: loadAddress,
    open: () =>
      LoadSharing.start({
        nodeName,
        zone,
        address: loadAddress,
        clusterState,
        originSharing,
        onDigest: parts.onDigest,
        clock,
        log,
      }),
  });
  return ok(listeners);
};
