import t from 'tap';
import { createRandom, type Random } from '@lovagearch/common';
import { computeGridPeers } from './grid.js';
import { isSignificantChange, LoadDigest } from './loadDigest.js';
import { decodeSections, encodeSections, type LoadRow, type LoadSection } from './loadRows.js';
import { LoadTable } from './loadTable.js';

const CYCLE_MS = 2_000;
const ROWS_PER_NODE = 4;

interface GridNode {
  readonly source: number;
  readonly digest: LoadDigest;
  readonly table: LoadTable;
  /** The rows that this node reported in each cycle. */
  readonly history: LoadRow[][];
  pending: LoadSection[];
}

const createNode = (source: number): GridNode => ({
  source,
  digest: LoadDigest.create(source),
  table: LoadTable.create(),
  history: [],
  pending: [],
});

const createRows = (source: number, last: readonly LoadRow[], random: Random): LoadRow[] =>
  Array.from({ length: ROWS_PER_NODE }, (_, index) => {
    const previous = last[index];
    if (previous !== undefined && random() < 0.7) return previous;
    return {
      endpoint: source * ROWS_PER_NODE + index,
      queuedPromptTokens: Math.floor(random() * 100) * 64,
      activeSequences: Math.floor(random() * 20),
      cacheUse: 1,
      state: random() < 0.1 ? 'leaving' : 'ready',
      versionTag: 0,
    };
  });

/** Runs one grid cycle in which messages are lost at the given rate. */
const runCycle = (nodes: readonly GridNode[], nowMs: number, random: Random, lossRate: number) => {
  const names = nodes.map(({ source }) => String(source));
  const send = (to: string, sections: readonly LoadSection[], isMerged: boolean): void => {
    if (random() < lossRate) return;
    const receiver = nodes[Number(to)]!;
    for (const section of decodeSections(encodeSections(sections))!) {
      const isNew = receiver.table.applySection(section, nowMs);
      if (isNew && !isMerged) receiver.pending.push(section);
    }
  };
  for (const node of nodes) {
    const rows = createRows(node.source, node.history[node.history.length - 1] ?? [], random);
    node.history.push(rows);
    const section = node.digest.createSection(rows, 0);
    node.pending.push(section);
    const peers = computeGridPeers(names, String(node.source));
    for (const peer of peers.row) send(peer, [section], false);
  }
  for (const node of nodes) {
    const peers = computeGridPeers(names, String(node.source));
    for (const peer of peers.column) send(peer, node.pending, true);
    Object.assign(node, { pending: [] });
  }
};

/**
 * Returns a description of the first row that differs from what its source reported when the row
 * was that old, which means that its age is too low; undefined if there is none.
 */
const findWrongAge = (nodes: readonly GridNode[], nowMs: number): string | undefined => {
  for (const { source: viewer, table } of nodes) {
    for (const { history, source } of nodes) {
      for (let index = 0; index < ROWS_PER_NODE; index++) {
        const endpoint = source * ROWS_PER_NODE + index;
        const [row] = table.getObservations(endpoint, nowMs);
        if (row === undefined) continue;
        const reported = history[Math.round((nowMs - row.ageMs) / CYCLE_MS)]![index]!;
        if (isSignificantChange(reported, row)) return `node ${viewer}, endpoint ${endpoint}`;
      }
    }
  }
  return undefined;
};

for (const seed of [1, 2, 3]) {
  t.test(`seed ${seed}: lost messages never make a row look too recent`, async (t2) => {
    const random = createRandom(seed);
    const nodes = Array.from({ length: 10 }, (_, source) => createNode(source));
    for (let cycle = 0; cycle < 1_000; cycle++) {
      const nowMs = cycle * CYCLE_MS;
      runCycle(nodes, nowMs, random, 0.2);
      const fault = findWrongAge(nodes, nowMs);
      if (fault !== undefined) return t2.fail(`${fault}, cycle ${cycle}, seed ${seed}`);
    }
    // Without loss, every row is current after the next full refresh.
    for (let cycle = 1_000; cycle < 1_010; cycle++) runCycle(nodes, cycle * CYCLE_MS, random, 0);
    for (const { source, table } of nodes) {
      for (let endpoint = 0; endpoint < nodes.length * ROWS_PER_NODE; endpoint++) {
        if (Math.floor(endpoint / ROWS_PER_NODE) === source) continue;
        const [row] = table.getObservations(endpoint, 1_009 * CYCLE_MS);
        if (row?.ageMs !== 0) t2.fail(`the row of endpoint ${endpoint} is outdated, seed ${seed}`);
      }
    }
    return undefined;
  });
}
