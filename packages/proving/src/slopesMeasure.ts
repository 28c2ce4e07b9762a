import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Measured values at one size. */
export interface SlopePoint {
  readonly x: number;
  readonly y: number;
}

/** `y = base + slope * x` with the share of the variance that it explains. */
export interface SlopeFit {
  readonly base: number;
  readonly slope: number;
  readonly r2: number;
}

const MICROSECONDS_PER_MS = 1_000;

/** Returns the middle value; of an even number the lower one of the two. */
export const getMedian = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? Number.NaN;
};

/**
 * Computes the least-squares line through points.
 *
 * @example
 * computeFit([{ x: 1, y: 3 }, { x: 2, y: 5 }]); // { base: 1, slope: 2, r2: 1 }
 */
export const computeFit = (points: readonly SlopePoint[]): SlopeFit => {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const varianceX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const varianceY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const base = meanY - slope * meanX;
  const rest = points.reduce((sum, { x, y }) => sum + (y - base - slope * x) ** 2, 0);
  return { base, slope, r2: varianceY === 0 ? 1 : 1 - rest / varianceY };
};

/** Evaluates a fit at a size. */
export const computeAt = ({ base, slope }: SlopeFit, x: number): number => base + slope * x;

/** Runs a task and returns the processor time of this process in milliseconds. */
export const computeCpuMs = async (task: () => Promise<void> | void): Promise<number> => {
  const start = process.cpuUsage();
  await task();
  const { system, user } = process.cpuUsage(start);
  return (user + system) / MICROSECONDS_PER_MS;
};

/** Returns the processor time of one repetition in milliseconds, as the median of several runs. */
export const computeCpuMsEach = async (
  runs: number,
  repetitions: number,
  task: (index: number) => void,
): Promise<number> => {
  const values: number[] = [];
  for (let run = 0; run < runs; run++) {
    const cpuMs = await computeCpuMs(() => {
      for (let index = 0; index < repetitions; index++) task(index);
    });
    values.push(cpuMs / repetitions);
  }
  return getMedian(values);
};

let runGc: (() => void) | undefined;

/** Returns the bytes of live objects and buffers after a collection. */
export const getLiveBytes = (): number => {
  if (runGc === undefined) {
    setFlagsFromString('--expose_gc');
    runGc = runInNewContext('gc') as () => void;
  }
  runGc();
  runGc();
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

/** Formats a number with three digits that count. */
export const formatNumber = (value: number): string => {
  if (!Number.isFinite(value)) return '-';
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en-US');
  return Number(value.toPrecision(3)).toString();
};

/** Formats rows as a Markdown table. */
export const formatTable = (
  head: readonly string[],
  rows: readonly (readonly (number | string)[])[],
): string => {
  const lines = rows.map((row) =>
    row.map((cell) => (typeof cell === 'number' ? formatNumber(cell) : cell)),
  );
  return [head, head.map(() => '---'), ...lines]
    .map((cells) => `| ${cells.join(' | ')} |`)
    .join('\n');
};

/** Formats a fit as `base + slope x`. */
export const formatFit = ({ base, slope, r2 }: SlopeFit, unit: string): string =>
  `${formatNumber(base)} + ${formatNumber(slope)} × ${unit} (r² ${r2.toFixed(3)})`;
