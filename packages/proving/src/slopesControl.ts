import { MS_PER_SECOND } from '@lovagearch/common';
import { computeCpuMs } from './slopesMeasure.js';
import { Simulation, type SimulationSize } from './slopesRegion.js';

const WARM_UP_MS = 24_000;

/** Control traffic and processor time of one node, as the mean over the nodes of a simulation. */
export interface ControlCost {
  readonly size: SimulationSize;
  /** Processor time in milliseconds for each second of a node. */
  readonly cpuMsPerSecond: number;
  /** Bytes sent each second by a node, by topic, without the headers of TCP and IP. */
  readonly bytesByTopic: ReadonlyMap<string, number>;
  readonly messagesByTopic: ReadonlyMap<string, number>;
  /** Largest number of bytes that one node sent in a second, all topics together. */
  readonly largestBytes: number;
  /** Members that the nodes know, as the mean. */
  readonly members: number;
  /** Endpoints of the own region that are ready in the view of the nodes, as the mean. */
  readonly readyEndpoints: number;
}

const readSent = (simulation: Simulation): Map<string, { bytes: number; messages: number }>[] =>
  simulation.nodes.map(
    ({ mesh }) =>
      new Map(
        mesh
          .listTopicTraffic()
          .map(({ sentBytes, sentMessages, topic }) => [
            topic,
            { bytes: sentBytes, messages: sentMessages },
          ]),
      ),
  );

const countReady = (simulation: Simulation): number => {
  const counts = simulation.nodes.map(
    ({ cluster, region }) =>
      cluster.directory
        .listAll()
        .filter((endpoint) => endpoint.region === region && endpoint.state === 'ready').length,
  );
  return counts.reduce((sum, count) => sum + count, 0) / counts.length;
};

/**
 * Measures what the node parts of `ClusterDiscovery` cost each node at a size.
 *
 * @param runningRegions regions whose nodes run; the others are in the VM list only
 * @param durationMs simulated time; a multiple of 16 s, in which each node sends one full refresh
 */
export const computeControlCost = async (
  size: SimulationSize,
  runningRegions: number,
  durationMs: number,
): Promise<ControlCost> => {
  const simulation = await Simulation.start(size, runningRegions);
  await simulation.runFor(WARM_UP_MS);
  const before = readSent(simulation);
  const cpuMs = await computeCpuMs(async () => simulation.runFor(durationMs));
  const after = readSent(simulation);
  const seconds = durationMs / MS_PER_SECOND;
  const nodeSeconds = seconds * simulation.nodes.length;
  const bytesByTopic = new Map<string, number>();
  const messagesByTopic = new Map<string, number>();
  let largestBytes = 0;
  for (const [index, topics] of after.entries()) {
    let nodeBytes = 0;
    for (const [topic, { bytes, messages }] of topics) {
      const earlier = before[index]?.get(topic) ?? { bytes: 0, messages: 0 };
      nodeBytes += bytes - earlier.bytes;
      const sumBytes = bytesByTopic.get(topic) ?? 0;
      bytesByTopic.set(topic, sumBytes + (bytes - earlier.bytes) / nodeSeconds);
      const sumMessages = messagesByTopic.get(topic) ?? 0;
      messagesByTopic.set(topic, sumMessages + (messages - earlier.messages) / nodeSeconds);
    }
    largestBytes = Math.max(largestBytes, nodeBytes / seconds);
  }
  const members =
    simulation.nodes.reduce((sum, { cluster }) => sum + cluster.members.listLive().length, 0) /
    simulation.nodes.length;
  const readyEndpoints = countReady(simulation);
  simulation.stop();
  return {
    size,
    cpuMsPerSecond: cpuMs / nodeSeconds,
    bytesByTopic,
    messagesByTopic,
    largestBytes,
    members,
    readyEndpoints,
  };
};

/** Bytes a second of the topics that begin with a prefix. */
export const getTopicBytes = ({ bytesByTopic }: ControlCost, prefix: string): number => {
  let sum = 0;
  for (const [topic, bytes] of bytesByTopic) if (topic.startsWith(prefix)) sum += bytes;
  return sum;
};
