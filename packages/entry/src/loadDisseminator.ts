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
import { PeriodicTask } from './periodicTask.js';
import {
  NODE_TOPICS,
  regionSchema,
  sectionBytesSchema,
  urgentSchema,
  type UrgentHop,
} from './nodeTopics.js';
import type { NodeIdentity, NodeComponent } from './types.js';

/** Sections that wait to be forwarded to the grid column: two for each member of a long row. */
const MAX_PENDING_SECTIONS = 64;
/** Cycles in which urgent sections are sent again, because one-way messages may be lost. */
const URGENT_RESEND_CYCLES = 2;
const MAX_URGENT_SECTIONS = 1_024;

export interface LoadDisseminatorOptions {
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
export class LoadDisseminator implements NodeComponent {
  private readonly digest: LoadDigest;

  private readonly source: number;

  private pendingSections: PendingSection[] = [];

  private urgentSections = new Map<string, UrgentSection>();

  private peersKey = '';

  private regionSeq = 0;

  private isRowPhase = true;

  private timers: PeriodicTask[] = [];

  private constructor(private readonly options: LoadDisseminatorOptions) {
    this.source = computeIdHash(options.identity.id);
    this.digest = LoadDigest.create(this.source);
  }

  /** Registers the handlers and starts the cycles. */
  static start(options: LoadDisseminatorOptions): LoadDisseminator {
    const disseminator = new LoadDisseminator(options);
    disseminator.registerHandlers();
    const log = options.log.withTag('load');
    disseminator.timers = [
      PeriodicTask.start(
        () => disseminator.runHalfCycle(),
        () => disseminator.getCycleMs() / 2,
        log,
      ),
      PeriodicTask.start(
        () => disseminator.sendSummaries(),
        () => disseminator.getSummaryIntervalMs(),
        log,
      ),
    ];
    return disseminator;
  }

  /** Immediately sends all nodes a state change that this node observed as a watcher. */
  readonly sendStateChange = (row: LoadRow): void => this.sendUrgent('urgent', row);

  /** Immediately sends all nodes a state that this node observed on the data path. */
  readonly sendDataPathRow = (row: LoadRow): void => this.sendUrgent('mark', row);

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
      const newSections = this.applySections(sections);
      if (newSections.length === 0) return;
      if (hop === 'region') this.sendUrgentToGrid(newSections);
      if (hop === 'row') this.sendUrgentTo(this.getGridPeers().column, newSections, 'column');
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
    const receivedSections = (decodeSections(bytes) ?? []).filter(
      ({ source }) => source !== this.source,
    );
    return receivedSections.filter((section) => table.applySection(section, nowMs));
  }

  private addPending(section: LoadSection): void {
    if (this.pendingSections.length >= MAX_PENDING_SECTIONS) this.pendingSections.shift();
    this.pendingSections.push({ section, receivedMs: this.options.clock.nowMs() });
  }

  /** A cycle has two halves: own section to the grid row, then the row's sections to the column. */
  private runHalfCycle(): void {
    if (this.isRowPhase) this.sendOwnSection();
    else this.sendMergedSections();
    this.isRowPhase = !this.isRowPhase;
  }

  private sendOwnSection(): void {
    const { clock, listOwnRows, mesh, table } = this.options;
    const { row, column } = this.getGridPeers();
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
    this.resendUrgentSections();
  }

  private sendMergedSections(): void {
    const { clock, mesh } = this.options;
    const nowMs = clock.nowMs();
    const sections = this.pendingSections.map(({ section, receivedMs }) => ({
      ...section,
      ageMs: section.ageMs + nowMs - receivedMs,
    }));
    this.pendingSections = [];
    if (sections.length === 0) return;
    const bytes = encodeSections(sections);
    for (const peer of this.getGridPeers().column) mesh.send(peer, NODE_TOPICS.merged, bytes);
  }

  private sendUrgent(type: 'urgent' | 'mark', row: LoadRow): void {
    const sinceMs = this.options.clock.nowMs();
    const section = this.digest.createUrgentSection(type, row);
    const key = `${type}/${row.endpoint}`;
    if (this.urgentSections.size < MAX_URGENT_SECTIONS || this.urgentSections.has(key)) {
      this.urgentSections.set(key, { section, sinceMs, repeatsLeft: URGENT_RESEND_CYCLES });
    }
    this.options.table.applySection(section, sinceMs);
    this.sendUrgentSections([section]);
  }

  private resendUrgentSections(): void {
    const nowMs = this.options.clock.nowMs();
    const sections: LoadSection[] = [];
    for (const [key, { repeatsLeft, section, sinceMs }] of this.urgentSections) {
      sections.push({ ...section, ageMs: nowMs - sinceMs });
      if (repeatsLeft === 1) this.urgentSections.delete(key);
      else this.urgentSections.set(key, { section, sinceMs, repeatsLeft: repeatsLeft - 1 });
    }
    if (sections.length > 0) this.sendUrgentSections(sections);
  }

  private sendUrgentSections(sections: readonly LoadSection[]): void {
    this.sendUrgentToGrid(sections);
    for (const region of this.listOtherRegions()) {
      this.sendUrgentTo(this.getSummaryTargets(region), sections, 'region');
    }
  }

  private sendUrgentToGrid(sections: readonly LoadSection[]): void {
    const { row, column } = this.getGridPeers();
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
      for (const peer of this.getSummaryTargets(region))
        mesh.send(peer, NODE_TOPICS.region, payload);
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

  private getGridPeers(): GridPeers<NodeId> {
    return computeGridPeers(this.listOwnRegionNodes(), this.options.identity.id);
  }

  private listOtherRegions(): Region[] {
    const { identity, listRegions } = this.options;
    return listRegions().filter((region) => region !== identity.region);
  }

  private getSummaryTargets(region: Region): NodeId[] {
    const { identity, listActive } = this.options;
    return chooseSummaryTargets(this.listOwnRegionNodes(), listActive(region), identity.id);
  }

  /** Includes this node even if it is leaving: it is not active then, but still reports states. */
  private listOwnRegionNodes(): NodeId[] {
    const { identity, listActive } = this.options;
    return [...new Set([...listActive(identity.region), identity.id])].sort();
  }
}
