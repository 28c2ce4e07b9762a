import { computeControlCost, getTopicBytes, type ControlCost } from './slopesControl.js';
import { computeEndpointListCost, type EndpointListCost } from './slopesEndpoints.js';
import { computeAt, computeFit, formatFit, formatTable } from './slopesMeasure.js';
import { computePollCosts } from './slopesPolls.js';
import { computeProcessCost, type ProcessCost, type ProcessSize } from './slopesProcess.js';
import type { SimulationSize } from './slopesRegion.js';
import {
  computeIndexBytes,
  computeRunLogCost,
  computeVmListCost,
  type RunLogCost,
  type VmListCost,
} from './slopesState.js';

/** One part of the report; `run` returns its paragraphs and tables in Markdown. */
export interface SlopeSection {
  readonly name: string;
  readonly run: (isQuick: boolean) => Promise<readonly string[]>;
}

const SEED = 1;
const KIB = 1_024;
/** Longest simulated time that a run of the simulation measures: one full refresh of all rows. */
const MEASURED_MS = 16_000;
/** Index entries of a node at the design size (design.md, 4.2). */
const DESIGN_INDEX_ENTRIES = 1_260;

const CONTROL_HEAD = [
  'nodes in the region',
  'runners in the region',
  'rows changed in 2 s',
  'probes B/s',
  'load rows B/s',
  'all B/s',
  'largest node B/s',
  'processor ms/s',
];

const toControlRow = (cost: ControlCost): (number | string)[] => {
  const { changeShare, nodesPerRegion, runnersPerRegion } = cost.size;
  return [
    nodesPerRegion,
    runnersPerRegion,
    `${changeShare * 100}%`,
    getTopicBytes(cost, 'membership.'),
    getTopicBytes(cost, 'load.'),
    getTopicBytes(cost, ''),
    cost.largestBytes,
    cost.cpuMsPerSecond,
  ];
};

const createSize = (
  nodesPerRegion: number,
  runnersPerRegion: number,
  changeShare = 0.3,
): SimulationSize => ({
  nodesPerRegion,
  runnersPerRegion,
  regions: 1,
  changeShare,
  seed: SEED,
});

const runControl = async (isQuick: boolean): Promise<readonly string[]> => {
  const byNodes = isQuick ? [18, 24, 30] : [18, 30, 44, 58];
  const byRunners = isQuick ? [100, 300] : [100, 300, 583];
  const costs: ControlCost[] = [];
  for (const nodes of byNodes) {
    costs.push(await computeControlCost(createSize(nodes, nodes * 10), 1, MEASURED_MS));
  }
  const runnerCosts: ControlCost[] = [];
  for (const runners of byRunners) {
    runnerCosts.push(await computeControlCost(createSize(24, runners), 1, MEASURED_MS));
  }
  const busy = await computeControlCost(createSize(byNodes.at(-1) ?? 0, 240, 1), 1, MEASURED_MS);
  const bytes = runnerCosts.map((cost) => ({
    x: cost.size.runnersPerRegion,
    y: getTopicBytes(cost, 'load.'),
  }));
  const cpu = runnerCosts.map((cost) => ({
    x: cost.size.runnersPerRegion,
    y: cost.cpuMsPerSecond,
  }));
  return [
    formatTable(CONTROL_HEAD, [...costs, ...runnerCosts, busy].map(toControlRow)),
    `Load rows at 24 nodes: ${formatFit(computeFit(bytes), 'runners')} B/s.`,
    `Processor time at 24 nodes: ${formatFit(computeFit(cpu), 'runners')} ms/s.`,
  ];
};

const runPolls = async (isQuick: boolean): Promise<readonly string[]> => {
  const costs = await computePollCosts(isQuick ? 200 : 1_000);
  return [
    formatTable(
      ['call', 'bytes, both directions', 'processor ms, both sides'],
      costs.map(({ bytes, call, cpuMs }) => [call, bytes, cpuMs]),
    ),
  ];
};

const runVmList = async (): Promise<readonly string[]> => {
  const costs: VmListCost[] = [];
  for (const [nodes, runners] of [
    [2, 20],
    [15, 150],
    [30, 300],
    [58, 583],
  ] as const) {
    costs.push(await computeVmListCost(nodes, runners));
  }
  const fit = computeFit(costs.map(({ bytes, vms }) => ({ x: vms, y: bytes })));
  return [
    formatTable(
      ['VMs', 'bytes', 'processor ms, both sides'],
      costs.map(({ bytes, cpuMs, vms }) => [vms, bytes, cpuMs]),
    ),
    `Bytes of one read: ${formatFit(fit, 'VMs')}.`,
  ];
};

const runIndex = async (isQuick: boolean): Promise<readonly string[]> => {
  const sizes = isQuick ? [1_000, 4_000, 16_000] : [1_000, 4_000, 16_000, 64_000];
  const points = sizes.map(computeIndexBytes);
  const fit = computeFit(points);
  return [
    formatTable(
      ['entries', 'KiB'],
      points.map(({ x, y }) => [x, y / KIB]),
    ),
    `Bytes: ${formatFit(fit, 'entries')}; at ${DESIGN_INDEX_ENTRIES} entries ` +
      `${(computeAt(fit, DESIGN_INDEX_ENTRIES) / KIB).toFixed(0)} KiB.`,
  ];
};

const runRunLog = async (isQuick: boolean): Promise<readonly string[]> => {
  const sizes = isQuick ? [2_000, 8_000, 16_000] : [4_000, 16_000, 64_000, 128_000];
  const costs: RunLogCost[] = [];
  for (const calls of sizes) costs.push(await computeRunLogCost(calls, 2));
  const toPoints = (get: (cost: RunLogCost) => number) =>
    costs.map((cost) => ({ x: cost.calls, y: get(cost) }));
  return [
    formatTable(
      ['calls', 'rows', 'record B/call', 'row B/call', 'memory KiB', 'decode ms'],
      costs.map((cost) => [
        cost.calls,
        cost.rows,
        cost.recordBytes,
        cost.rowBytes,
        cost.memoryBytes / KIB,
        cost.takeoverCpuMs,
      ]),
    ),
    `Memory: ${formatFit(computeFit(toPoints((cost) => cost.memoryBytes)), 'calls')} B.`,
    `Decoding: ${formatFit(computeFit(toPoints((cost) => cost.takeoverCpuMs)), 'calls')} ms.`,
  ];
};

const runEndpoints = async (isQuick: boolean): Promise<readonly string[]> => {
  const sizes = isQuick ? [50, 200, 583] : [50, 100, 200, 400, 583];
  const costs: EndpointListCost[] = [];
  for (const runners of sizes) costs.push(await computeEndpointListCost(runners));
  const created = computeFit(
    costs.map(({ createdMs, endpoints }) => ({ x: endpoints, y: createdMs })),
  );
  const kept = computeFit(costs.map(({ endpoints, keptMs }) => ({ x: endpoints, y: keptMs })));
  return [
    formatTable(
      ['endpoints', 'ms with new views', 'ms with kept views'],
      costs.map(({ createdMs, endpoints, keptMs }) => [endpoints, createdMs, keptMs]),
    ),
    `New views: ${formatFit(created, 'endpoints')} ms; kept: ${formatFit(kept, 'endpoints')} ms.`,
  ];
};

const PROCESS_SIZES: readonly ProcessSize[] = [
  { nodes: 1, runners: 0, farRunners: 0 },
  { nodes: 1, runners: 20, farRunners: 0 },
  { nodes: 1, runners: 20, farRunners: 3_500 },
  { nodes: 8, runners: 20, farRunners: 0 },
];

const runProcesses = async (isQuick: boolean): Promise<readonly string[]> => {
  const costs: ProcessCost[] = [];
  const sizes = isQuick ? PROCESS_SIZES.slice(1, 2) : PROCESS_SIZES;
  for (const size of sizes) {
    costs.push(await computeProcessCost(size, isQuick ? 6_000 : 10_000));
  }
  return [
    formatTable(
      ['nodes', 'runners', 'far runners', 'processor ms/s', 'resident MiB', 'poll B/s', 'peer B/s'],
      costs.map((cost) => [
        cost.nodes,
        cost.runners,
        cost.farRunners,
        cost.cpuMsPerSecond,
        cost.residentBytes / KIB / KIB,
        cost.pollBytesPerSecond,
        cost.peerBytesPerSecond,
      ]),
    ),
  ];
};

/** The parts of the report in their order. */
export const SECTIONS: readonly SlopeSection[] = [
  { name: 'Control between the nodes of a region', run: runControl },
  { name: 'Calls to a runner', run: runPolls },
  { name: 'Endpoint lists', run: runEndpoints },
  { name: 'VM list', run: runVmList },
  { name: 'Prompt index', run: runIndex },
  { name: 'Run log', run: runRunLog },
  { name: 'Idle entry processes', run: runProcesses },
];
