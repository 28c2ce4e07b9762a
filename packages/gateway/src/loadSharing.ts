import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { pack, unpack } from 'msgpackr';
import { type Clock, getErrorMessage } from '@lovagearch/common';
import {
  applyLoadDigest,
  createLoadDigest,
  type LoadDigestEntry,
  MAX_FULL_VIEW_NODES,
} from '@lovagearch/endpoints';
import * as z from 'zod';
import type { ClusterState } from './clusterState.js';
import {
  MAX_LATE_DIGESTS,
  MAX_LOAD_DIGEST_ENTRIES,
  ORIGIN_SHARE_INTERVAL_MS,
  LOAD_DIGEST_INTERVAL_MS,
  LOAD_DIGEST_INTERVAL_PER_PEER_MS,
} from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { OriginSharing } from './originSharing.js';
import type { Address } from './types.js';

/** The fields of an entry in wire order; arrays instead of objects keep the datagrams small. */
const loadSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
]);
/** The fields of an entry of an endpoint that states the duration of its work. */
const contentionSchema = z.tuple([...loadSchema.def.items, z.number(), z.number()]);
export const entrySchema = z.union([loadSchema, contentionSchema]);
const digestSchema = z.tuple([z.string(), z.number(), z.array(entrySchema)]);

/** Encodes an entry. One without a duration of work has the same bytes as before that could be stated. */
export const encodeEntry = (entry: LoadDigestEntry): z.infer<typeof entrySchema> => {
  const load: z.infer<typeof loadSchema> = [
    entry.endpoint,
    entry.pendingTokens,
    entry.active,
    entry.activeTokens,
    entry.oldestWaitMs,
    entry.reportAgeMs,
    entry.running,
    entry.waiting,
    entry.slots,
  ];
  const { workPercent, bytesAgeMs } = entry;
  return workPercent === undefined || bytesAgeMs === undefined
    ? load
    : [...load, workPercent, bytesAgeMs];
};

/** Decodes an entry of either length. */
export const decodeEntry = ([
  endpoint,
  pendingTokens,
  active,
  activeTokens,
  oldestWaitMs,
  reportAgeMs,
  running,
  waiting,
  slots,
  workPercent,
  bytesAgeMs,
]: z.infer<typeof entrySchema>): LoadDigestEntry => ({
  endpoint,
  pendingTokens,
  active,
  activeTokens,
  oldestWaitMs,
  reportAgeMs,
  running,
  waiting,
  slots,
  workPercent,
  bytesAgeMs,
});

export interface LoadSharingDependencies {
  readonly nodeName: string;
  readonly zone: string;
  readonly address: Address;
  readonly clusterState: ClusterState;
  /** Streams that peers are told of in datagrams of their own. */
  readonly originSharing: Pick<OriginSharing, 'applyDatagram' | 'takeDatagrams'>;
  /** Called with each digest of a peer. */
  readonly onDigest: (peer: string, entries: readonly LoadDigestEntry[]) => void;
  readonly clock: Clock;
  readonly log: GatewayLog;
}

/** Lists this node and its peers that share load: all of them, or in large deployments those of its zone. */
export const listSharingNodes = (
  clusterState: ClusterState,
  { nodeName, zone }: { readonly nodeName: string; readonly zone: string },
): string[] => {
  const isFullMesh = clusterState.nodeCount <= MAX_FULL_VIEW_NODES;
  const names = new Set([nodeName]);
  for (const [name, peer] of clusterState.listPeers())
    if (isFullMesh || peer.zone === zone) names.add(name);
  return [...names];
};

interface DigestTarget {
  readonly host: string;
  readonly port: number;
}

/**
 * Sends peers the load that this node has placed on each endpoint. Without it, several nodes would choose
 * the same endpoint at once, as each of them sees it as idle. UDP is used because a lost datagram is
 * replaced by the next one and a late one is useless. Large deployments share load within an availability
 * zone only. The same peers are told which software version began the streams of this node.
 */
export class LoadSharing {
  private timer: NodeJS.Timeout | undefined;

  private readonly originTimer: NodeJS.Timeout;

  private sequence = 0;

  private readonly lastSequences = new Map<string, number>();

  private readonly targets = new Map<string, DigestTarget>();

  private constructor(
    private readonly dependencies: LoadSharingDependencies,
    private readonly socket: Socket,
  ) {
    this.originTimer = setInterval(() => this.sendOrigins(), ORIGIN_SHARE_INTERVAL_MS);
  }

  /** Binds the socket and starts sending digests; rejects if the address can't be used. */
  static async start(parts: LoadSharingDependencies): Promise<LoadSharing> {
    const socket = createSocket('udp4');
    const sharing = new LoadSharing(parts, socket);
    socket.on('message', (bytes) => sharing.receive(bytes));
    try {
      socket.bind(parts.address.port, parts.address.host);
      await once(socket, 'listening');
    } catch (error) {
      sharing.close();
      throw error;
    }
    socket.on('error', (error) => {
      parts.log.logProblem('load_socket_failed', { reason: getErrorMessage(error) });
    });
    sharing.scheduleNext();
    return sharing;
  }

  close(): void {
    clearTimeout(this.timer);
    clearInterval(this.originTimer);
    this.socket.close();
  }

  private scheduleNext(): void {
    const peerCount = this.updateTargets();
    const delayMs = Math.max(LOAD_DIGEST_INTERVAL_MS, peerCount * LOAD_DIGEST_INTERVAL_PER_PEER_MS);
    this.timer = setTimeout(() => {
      this.send();
      this.scheduleNext();
    }, delayMs);
  }

  /** Updates the peers that receive digests and returns their number. */
  private updateTargets(): number {
    const { clusterState, nodeName } = this.dependencies;
    this.targets.clear();
    for (const name of listSharingNodes(clusterState, this.dependencies)) {
      const peer = clusterState.findPeer(name);
      if (name === nodeName || peer === undefined) continue;
      const [host, port] = peer.loadAddress.split(':');
      if (host !== undefined) this.targets.set(name, { host, port: Number(port) });
    }
    return this.targets.size;
  }

  private send(): void {
    const { clusterState, clock, nodeName } = this.dependencies;
    if (this.targets.size === 0) return;
    const entries = createLoadDigest(
      clusterState.endpoints.listAll(),
      2 * LOAD_DIGEST_INTERVAL_MS,
      clock.nowMs(),
    ).slice(0, MAX_LOAD_DIGEST_ENTRIES);
    if (entries.length === 0) return;
    this.sequence += 1;
    this.sendToTargets(pack([nodeName, this.sequence, entries.map(encodeEntry)]));
  }

  private sendOrigins(): void {
    if (this.targets.size === 0) return;
    for (const bytes of this.dependencies.originSharing.takeDatagrams()) this.sendToTargets(bytes);
  }

  private sendToTargets(bytes: Buffer): void {
    for (const { host, port } of this.targets.values()) {
      // A datagram that can't be sent counts as lost; a later one replaces it.
      this.socket.send(bytes, port, host, () => undefined);
    }
  }

  private receive(bytes: Buffer): void {
    const { clusterState, clock, log, originSharing, onDigest } = this.dependencies;
    let value: unknown;
    try {
      value = unpack(bytes);
    } catch (error) {
      log.logProblem('load_digest_rejected', { reason: getErrorMessage(error) });
      return;
    }
    if (originSharing.applyDatagram(value)) return;
    const digest = digestSchema.safeParse(value);
    if (!digest.success) {
      log.logProblem('load_digest_rejected', { reason: 'unexpected structure' });
      return;
    }
    const [peer, sequence, entries] = digest.data;
    const known = this.lastSequences.get(peer) ?? 0;
    // A restarted peer starts again at 1.
    const isLate = sequence <= known && known - sequence < MAX_LATE_DIGESTS;
    if (isLate) return;
    this.lastSequences.set(peer, sequence);
    const decoded = entries.map(decodeEntry);
    applyLoadDigest(
      (key) => clusterState.endpoints.findEndpointByDigestKey(key),
      peer,
      decoded,
      clock.nowMs(),
    );
    onDigest(peer, decoded);
  }
}
