import { type Clock, type Logger, type NodeId, type Region } from '@lovagearch/common';
import {
  chooseSummaryTargets,
  computeGridPeers,
  computeIdHash,
  decodeCapacities,
  decodeSections,
  DETAILED_SUMMARY_INTERVAL_MS,
  encodeCapacities,
  encodeSections,
  LoadDigest,
  LONG_CYCLE_MS,
  MAX_ENDPOINTS_IN_SUMMARY,
  MAX_NODES_SHORT_CYCLE,
  SHORT_CYCLE_MS,
  SUMMARY_INTERVAL_MS,
  type GridPeers,
  type LoadRow,
  type LoadSection,
  type LoadTable,
  type ZoneCapacity,
} from '@lovagearch/membership';
import type { PeerMesh } from '@lovagearch/peering';
import { NodeTimer } from './nodeTimer.js';
import {
  NODE_TOPICS,
  regionSchema,
  sectionBytesSchema,
  urgentSchema,
  type UrgentHop,
} from './nodeTopics.js';
import type { NodeIdentity, NodePart } from './types.js';

/** Sections that wait to be forwarded to the grid column: two for each member of a long row. */
const MAX_PENDING_SECTIONS = 64;
/** Cycles in which urgent sections are sent again, because one-way messages may be lost. */
const URGENT_REPEATS = 2;
const MAX_URGENT_SECTIONS = 1_024;

export interface NodeDisseminationOptions {
  readonly identity: NodeIdentity;
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: LoadTable;
  readonly listActive: (region: Region) => readonly NodeId[];
  readonly listRegions: () => readonly Region[];
  /** Returns the rows of the endpoints that this node watches. */
  readonly listOwnRows: () => { readonly rows: readonly LoadRow[]; readonly ageMs: number };
  /** Returns the rows of this region's endpoints for other regions. */
  readonly listRegionRows: () => { readonly rows: readonly LoadRow[]; readonly ageMs: number };
  readonly countRegionEndpoints: () => number;
  readonly listCapacities: () => readonly ZoneCapacity[];
  readonly handleCapacities: (from: NodeId, capacities: readonly ZoneCapacity[]) => void;
}

interface PendingSection {
  readonly section: LoadSection;
  readonly receivedMs: number;
}

interface UrgentSection {
  readonly section: LoadSection;
  readonly sinceMs: number;
  readonly repeatsLeft: number;
}

/**
 * Sends load through the region's grid in cycles, state changes immediately, and summaries to other
 * regions.
 */
export class NodeDissemination implements NodePart {
  private readonly digest: LoadDigest;

  private readonly source: number;

  private pending: PendingSection[] = [];

  private urgent = new Map<string, UrgentSection>();

  private peersKey = '';

  private regionSeq = 0;

  private isRowTurn = true;

  private timers: NodeTimer[] = [];

  private constructor(private readonly options: NodeDisseminationOptions) {
    this.source = computeIdHash(options.identity.id);
    this.digest = LoadDigest.create(this.source);
  }

  /** Registers the handlers and starts the cycles. */
  static start(options: NodeDisseminationOptions): NodeDissemination {
    const part = new NodeDissemination(options);
    part.registerHandlers();
    const log = options.log.withTag('load');
    part.timers = [
      NodeTimer.start(
        () => part.runTurn(),
        () => part.getCycleMs() / 2,
        log,
      ),
      NodeTimer.start(
        () => part.sendSummaries(),
        () => part.getSummaryIntervalMs(),
        log,
      ),
    ];
    return part;
  }

  /** Immediately sends all nodes a state change that this node observed as a watcher. */
  readonly sendChange = (row: LoadRow): void => this.sendUrgent('urgent', row);

  /** Immediately sends all nodes a state that this node observed on the data path. */
  readonly sendMark = (row: LoadRow): void => this.sendUrgent('mark', row);

  readonly stop = async (): Promise<void> => {
    await Promise.all(this.timers.map((timer) => timer.stop()));
  };

  private registerHandlers(): void {
    const { mesh } = this.options;
    mesh.registerHandler(NODE_TOPICS.rows, sectionBytesSchema, (_from, bytes) => {
      this.applySections(bytes).forEach((section) => this.addPending(section));
    });
    mesh.registerHandler(NODE_TOPICS.merged, sectionBytesSchema, (_from, bytes) => {
      this.applySections(bytes);
    });
    mesh.registerHandler(NODE_TOPICS.urgent, urgentSchema, (_from, { hop, sections }) => {
      const fresh = this.applySections(sections);
      if (fresh.length === 0) return;
      if (hop === 'region') this.sendUrgentToGrid(fresh);
      if (hop === 'row') this.sendUrgentTo(this.getPeers().column, fresh, 'column');
    });
    mesh.registerHandler(NODE_TOPICS.region, regionSchema, (from, { capacities, sections }) => {
      this.applySections(sections);
      const decoded = decodeCapacities(capacities);
      if (decoded !== undefined) this.options.handleCapacities(from, decoded);
    });
  }

  /** Applies the sections of other nodes and returns those that were new. */
  private applySections(bytes: Uint8Array): LoadSection[] {
    const { clock, table } = this.options;
    const nowMs = clock.nowMs();
    const others = (decodeSections(bytes) ?? []).filter(({ source }) => source !== this.source);
    return others.filter((section) => table.applySection(section, nowMs));
  }

  private addPending(section: LoadSection): void {
    if (this.pending.length >= MAX_PENDING_SECTIONS) this.pending.shift();
    this.pending.push({ section, receivedMs: this.options.clock.nowMs() });
  }

  /** A cycle has two halves: own section to the grid row, then the row's sections to the column. */
  private runTurn(): void {
    if (this.isRowTurn) this.sendRows();
    else this.sendMerged();
    this.isRowTurn = !this.isRowTurn;
  }

  private sendRows(): void {
    const { clock, listOwnRows, mesh, table } = this.options;
    const { row, column } = this.getPeers();
    const peersKey = [...row, '', ...column].join('|');
    if (peersKey !== this.peersKey) this.digest.requestFullSection();
    this.peersKey = peersKey;
    const { rows, ageMs } = listOwnRows();
    const section = this.digest.createSection(rows, ageMs);
    table.applySection(section, clock.nowMs());
    table.removeExpired(clock.nowMs());
    this.addPending(section);
    const bytes = encodeSections([section]);
    for (const peer of row) mesh.send(peer, NODE_TOPICS.rows, bytes);
    this.repeatUrgent();
  }

  private sendMerged(): void {
    const { clock, mesh } = this.options;
    const nowMs = clock.nowMs();
    const sections = this.pending.map(({ section, receivedMs }) => ({
      ...section,
      ageMs: section.ageMs + nowMs - receivedMs,
    }));
    this.pending = [];
    if (sections.length === 0) return;
    const bytes = encodeSections(sections);
    for (const peer of this.getPeers().column) mesh.send(peer, NODE_TOPICS.merged, bytes);
  }

  private sendUrgent(type: 'urgent' | 'mark', row: LoadRow): void {
    const sinceMs = this.options.clock.nowMs();
    const section = this.digest.createUrgentSection(type, row);
    const key = `${type}/${row.endpoint}`;
    if (this.urgent.size < MAX_URGENT_SECTIONS || this.urgent.has(key)) {
      this.urgent.set(key, { section, sinceMs, repeatsLeft: URGENT_REPEATS });
    }
    this.options.table.applySection(section, sinceMs);
    this.sendUrgentSections([section]);
  }

  private repeatUrgent(): void {
    const nowMs = this.options.clock.nowMs();
    const sections: LoadSection[] = [];
    for (const [key, { repeatsLeft, section, sinceMs }] of this.urgent) {
      sections.push({ ...section, ageMs: nowMs - sinceMs });
      if (repeatsLeft === 1) this.urgent.delete(key);
      else this.urgent.set(key, { section, sinceMs, repeatsLeft: repeatsLeft - 1 });
    }
    if (sections.length > 0) this.sendUrgentSections(sections);
  }

  private sendUrgentSections(sections: readonly LoadSection[]): void {
    this.sendUrgentToGrid(sections);
    for (const region of this.listOtherRegions()) {
      this.sendUrgentTo(this.getCounterparts(region), sections, 'region');
    }
  }

  private sendUrgentToGrid(sections: readonly LoadSection[]): void {
    const { row, column } = this.getPeers();
    this.sendUrgentTo(row, sections, 'row');
    this.sendUrgentTo(column, sections, 'column');
  }

  private sendUrgentTo(
    peers: readonly NodeId[],
    sections: readonly LoadSection[],
    hop: UrgentHop,
  ): void {
    const payload = { hop, sections: encodeSections(sections) };
    for (const peer of peers) this.options.mesh.send(peer, NODE_TOPICS.urgent, payload);
  }

  private sendSummaries(): void {
    const { listCapacities, listRegionRows, mesh } = this.options;
    const { rows, ageMs } = listRegionRows();
    this.regionSeq = (this.regionSeq + 1) % 256;
    const isDetailed = rows.length <= MAX_ENDPOINTS_IN_SUMMARY;
    // Of a large region, other regions receive only the endpoints that can't take new work.
    const sent = isDetailed ? rows : rows.filter(({ state }) => state !== 'ready');
    const section: LoadSection = {
      type: 'full',
      source: this.source,
      seq: this.regionSeq,
      ageMs,
      rows: sent.slice(0, MAX_ENDPOINTS_IN_SUMMARY),
    };
    const payload = {
      capacities: encodeCapacities(listCapacities()),
      sections: encodeSections([section]),
    };
    for (const region of this.listOtherRegions()) {
      for (const peer of this.getCounterparts(region)) mesh.send(peer, NODE_TOPICS.region, payload);
    }
  }

  private getSummaryIntervalMs(): number {
    const isSmall = this.options.countRegionEndpoints() <= MAX_ENDPOINTS_IN_SUMMARY;
    return isSmall ? DETAILED_SUMMARY_INTERVAL_MS : SUMMARY_INTERVAL_MS;
  }

  private getCycleMs(): number {
    const count = this.options.listActive(this.options.identity.region).length;
    return count <= MAX_NODES_SHORT_CYCLE ? SHORT_CYCLE_MS : LONG_CYCLE_MS;
  }

  private getPeers(): GridPeers<NodeId> {
    return computeGridPeers(this.listOwnRegion(), this.options.identity.id);
  }

  private listOtherRegions(): Region[] {
    const { identity, listRegions } = this.options;
    return listRegions().filter((region) => region !== identity.region);
  }

  private getCounterparts(region: Region): NodeId[] {
    const { identity, listActive } = this.options;
    return chooseSummaryTargets(this.listOwnRegion(), listActive(region), identity.id);
  }

  /** Includes this node even if it is leaving: it is not active then, but still reports states. */
  private listOwnRegion(): NodeId[] {
    const { identity, listActive } = this.options;
    return [...new Set([...listActive(identity.region), identity.id])].sort();
  }
}
