import { MIN_FIT_PAIRS, MIN_TOKEN_DIFFERENCE_SHARE } from './constants.js';

/** One measured point. */
export interface Sample {
  readonly x: number;
  readonly y: number;
}

export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

const getMedian = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

/**
 * Fits a line by the medians of the slopes between pairs of samples and of the distances that remain (Theil and
 * Sen), which up to a quarter of outliers hardly move.
 *
 * @returns undefined if too few pairs differ enough in `x`
 * @example
 * const line = fitLine([{ x: 100, y: 45 }, { x: 8_000, y: 205 }]);
 */
export const fitLine = (samples: readonly Sample[]): Line | undefined => {
  const largest = Math.max(0, ...samples.map(({ x }) => x));
  const minDifference = largest * MIN_TOKEN_DIFFERENCE_SHARE;
  const slopes: number[] = [];
  for (const [index, left] of samples.entries()) {
    for (const right of samples.slice(index + 1)) {
      const difference = right.x - left.x;
      if (Math.abs(difference) >= minDifference && difference !== 0)
        slopes.push((right.y - left.y) / difference);
    }
  }
  if (slopes.length < MIN_FIT_PAIRS) return undefined;
  const slope = getMedian(slopes);
  return { slope, intercept: getMedian(samples.map(({ x, y }) => y - slope * x)) };
};
