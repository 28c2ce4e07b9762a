import { MS_PER_SECOND, toId } from '@lovagearch/common';
import type { Region, WeightVersion, Logger, ModelId, NodeId } from '@lovagearch/common';
import { computeIdHash, computeWatchers } from '@lovagearch/membership';
import type { PeerMesh } from '@lovagearch/peering';
import { hasOutdatedDetails, type EndpointRecord } from './nodeEndpointRecord.js';
import type { NodeEndpoints } from './nodeEndpoints.js';
import { NodeTimer } from './nodeTimer.js';
import {
  detailsReplySchema,
  detailsRequestSchema,
  MAX_DETAILS,
  NODE_TOPICS,
  type EndpointDetails,
} from './nodeTopics.js';
import type { NodePart } from './types.js';

const INTERVAL_MS = MS_PER_SECOND;
const REQUEST_LIMIT_MS = 1_000;
/** Nodes that receive a request in one interval. */
const MAX_ASKED = 16;

export interface NodeDetailsOptions {
  readonly mesh: PeerMesh;
  readonly log: Logger;
  readonly endpoints: NodeEndpoints;
  readonly listNodes: () => readonly NodeId[];
  readonly listActive: (region: Region) => readonly NodeId[];
}

/**
 * Requests the models and the boot id of a runner from one of its watchers when the version tag in
 * its load row shows that the known details are outdated. This keeps load rows small.
 */
export class NodeDetails implements NodePart {
  private constructor(
    private readonly options: NodeDetailsOptions,
    private timer?: NodeTimer,
  ) {}

  static start(options: NodeDetailsOptions): NodeDetails {
    const part = new NodeDetails(options);
    options.mesh.registerHandler(
      NODE_TOPICS.details,
      detailsRequestSchema,
      (_from, { endpoints }) => ({ details: part.listDetails(endpoints) }),
    );
    part.timer = NodeTimer.start(
      () => part.askAll(),
      () => INTERVAL_MS,
      options.log.withTag('details'),
    );
    return part;
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

  private async askAll(): Promise<void> {
    const { endpoints, listNodes, mesh } = this.options;
    const nodes = new Map(listNodes().map((id) => [computeIdHash(id), id]));
    const wanted = new Map<NodeId, number[]>();
    for (const record of endpoints.listRecords()) {
      const seen = endpoints.getYoungestSeen(record);
      if (!hasOutdatedDetails(record, seen)) continue;
      const node = nodes.get(seen?.source ?? -1) ?? this.getWatcher(record);
      if (node === undefined || node === mesh.self) continue;
      const hashes = wanted.get(node) ?? [];
      if (hashes.length < MAX_DETAILS) hashes.push(record.hash);
      if (wanted.size < MAX_ASKED) wanted.set(node, hashes);
    }
    await Promise.all([...wanted].map(([node, hashes]) => this.ask(node, hashes)));
  }

  private getWatcher(record: EndpointRecord): NodeId | undefined {
    const watchers = computeWatchers(record.id, this.options.listActive(record.region));
    return watchers.find((node) => node !== this.options.mesh.self);
  }

  private async ask(node: NodeId, hashes: readonly number[]): Promise<void> {
    const { endpoints, mesh } = this.options;
    const payload = { endpoints: hashes };
    const reply = await mesh.request(node, NODE_TOPICS.details, payload, REQUEST_LIMIT_MS);
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
