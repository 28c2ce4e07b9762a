import { MS_PER_SECOND, toId } from '@lovagearch/common';
import type { Region, WeightVersion, Logger, ModelId, NodeId } from '@lovagearch/common';
import { computeIdHash, computeWatchers } from '@lovagearch/membership';
import type { PeerMesh } from '@lovagearch/peering';
import { hasOutdatedDetails, type EndpointRecord } from './endpointRecord.js';
import type { ClusterEndpointDirectory } from './clusterEndpointDirectory.js';
import { PeriodicTask } from './periodicTask.js';
import {
  detailsReplySchema,
  detailsRequestSchema,
  MAX_DETAILS,
  NODE_TOPICS,
  type EndpointDetails,
} from './nodeTopics.js';
import type { NodeComponent } from './types.js';

const REQUEST_INTERVAL_MS = MS_PER_SECOND;
const REQUEST_TIMEOUT_MS = 1_000;
/** Nodes that receive a request in one interval. */
const MAX_NODES_PER_INTERVAL = 16;

export interface EndpointDetailsFetcherOptions {
  readonly mesh: PeerMesh;
  readonly log: Logger;
  readonly endpoints: ClusterEndpointDirectory;
  readonly listNodes: () => readonly NodeId[];
  readonly listActive: (region: Region) => readonly NodeId[];
}

/**
 * Requests the models and the boot id of a runner from one of its watchers when the version tag in
 * its load row shows that the known details are outdated. This keeps load rows small.
 */
export class EndpointDetailsFetcher implements NodeComponent {
  private constructor(
    private readonly options: EndpointDetailsFetcherOptions,
    private timer?: PeriodicTask,
  ) {}

  static start(options: EndpointDetailsFetcherOptions): EndpointDetailsFetcher {
    const fetcher = new EndpointDetailsFetcher(options);
    options.mesh.registerHandler(
      NODE_TOPICS.details,
      detailsRequestSchema,
      (_from, { endpoints }) => ({ details: fetcher.listDetails(endpoints) }),
    );
    fetcher.timer = PeriodicTask.start(
      () => fetcher.requestOutdated(),
      () => REQUEST_INTERVAL_MS,
      options.log.withTag('details'),
    );
    return fetcher;
  }

  readonly stop = async (): Promise<void> => {
    await this.timer?.stop();
  };

  private listDetails(hashes: readonly number[]): ({ endpoint: number } & EndpointDetails)[] {
    return hashes.flatMap((endpoint) => {
      const details = this.options.endpoints.getRecordByHash(endpoint)?.details;
      return details === undefined ? [] : [{ endpoint, ...details }];
    });
  }

  private async requestOutdated(): Promise<void> {
    const { endpoints, listNodes, mesh } = this.options;
    const nodes = new Map(listNodes().map((id) => [computeIdHash(id), id]));
    const hashesByNode = new Map<NodeId, number[]>();
    for (const record of endpoints.listRecords()) {
      const liveRow = endpoints.getNewestLiveRow(record);
      if (!hasOutdatedDetails(record, liveRow)) continue;
      const node = nodes.get(liveRow?.source ?? -1) ?? this.getWatcher(record);
      if (node === undefined || node === mesh.self) continue;
      const hashes = hashesByNode.get(node) ?? [];
      if (hashes.length < MAX_DETAILS) hashes.push(record.hash);
      if (hashesByNode.size < MAX_NODES_PER_INTERVAL) hashesByNode.set(node, hashes);
    }
    await Promise.all([...hashesByNode].map(([node, hashes]) => this.requestDetails(node, hashes)));
  }

  private getWatcher(record: EndpointRecord): NodeId | undefined {
    const watchers = computeWatchers(record.id, this.options.listActive(record.region));
    return watchers.find((node) => node !== this.options.mesh.self);
  }

  private async requestDetails(node: NodeId, hashes: readonly number[]): Promise<void> {
    const { endpoints, mesh } = this.options;
    const payload = { endpoints: hashes };
    const reply = await mesh.request(node, NODE_TOPICS.details, payload, REQUEST_TIMEOUT_MS);
    const parsed = detailsReplySchema.safeParse(reply.unwrapOr(undefined));
    if (!parsed.success) return;
    for (const { boot, endpoint, models } of parsed.data.details) {
      const record = endpoints.getRecordByHash(endpoint);
      if (record === undefined || !hashes.includes(endpoint)) continue;
      endpoints.applyDetails(record.id, {
        boot,
        models: models.map(({ model, weightVersion }) => ({
          model: toId<ModelId>(model),
          weightVersion: toId<WeightVersion>(weightVersion),
        })),
      });
    }
  }
}
