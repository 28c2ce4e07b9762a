import { toId, type ServiceId } from '@lovagearch/common';
import { computeCpuMsEach } from './slopesMeasure.js';
import { MODELS, Simulation } from './slopesRegion.js';

const RUNS = 5;
const REPETITIONS = 20;
const SETTLE_MS = 4_000;
/** Longer than any view is kept. */
const EXPIRY_MS = 2_000;

/** Processor time to list all endpoints once, in milliseconds. */
export interface EndpointListCost {
  readonly endpoints: number;
  readonly createdMs: number;
  /** With the views of a moment ago. */
  readonly keptMs: number;
}

/** Measures the lists of endpoints that requests choose from, at one node before six regions. */
export const computeEndpointListCost = async (
  runnersPerRegion: number,
): Promise<EndpointListCost> => {
  const regions = 6;
  const simulation = await Simulation.start(
    { nodesPerRegion: 1, runnersPerRegion, regions, changeShare: 0, seed: 1 },
    1,
  );
  await simulation.runFor(SETTLE_MS);
  const directory = simulation.nodes[0]?.cluster.directory;
  const services = Array.from({ length: MODELS }, (_, index) =>
    toId<ServiceId>(`service-${index}`),
  );
  let count = 0;
  const listAll = (): void => {
    count = 0;
    for (const service of services) count += directory?.listEndpoints(service).length ?? 0;
  };
  const createdMs = await computeCpuMsEach(RUNS, REPETITIONS, () => {
    simulation.clock.addMs(EXPIRY_MS);
    listAll();
  });
  listAll();
  const keptMs = await computeCpuMsEach(RUNS, REPETITIONS, listAll);
  simulation.stop();
  return { endpoints: count, createdMs, keptMs };
};
