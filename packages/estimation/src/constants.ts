/**
 * Prefill rate of an engine until responses are measured, in tokens per millisecond. A wrong one costs a few
 * placements; the measured one replaces it after `MIN_FIT_SAMPLES` responses.
 */
export const PRIOR_PREFILL_TOKENS_PER_MS = 60;
/** Time to the first token without prefill until responses are measured, in milliseconds. */
export const PRIOR_OVERHEAD_MS = 40;
/** Time for which a request stays in an engine's memory until responses are measured, in milliseconds. */
export const PRIOR_RESIDENCE_MS = 500;
/** Bounds of a prefill rate, in tokens per millisecond. A rate outside can only come from false samples. */
export const MIN_PREFILL_TOKENS_PER_MS = 0.5;
export const MAX_PREFILL_TOKENS_PER_MS = 5_000;
/** Bounds of the time to the first token without prefill, in milliseconds. */
export const MAX_OVERHEAD_MS = 2_000;
/** Bounds of the time for which a request stays in an engine's memory, in milliseconds. */
export const MIN_RESIDENCE_MS = 5;
export const MAX_RESIDENCE_MS = 60_000;
/** Number of the newest samples from which the prefill rate is estimated. */
export const MAX_FIT_SAMPLES = 128;
/** Number of samples from which the estimate replaces the prior. */
export const MIN_FIT_SAMPLES = 24;
/** New samples after which the estimate is computed anew. */
export const SAMPLES_PER_FIT = 16;
/**
 * Difference of the prefilled tokens of two samples from which their slope counts, as a share of the largest in the
 * window; between similar prompts, noise outweighs the difference.
 */
export const MIN_TOKEN_DIFFERENCE_SHARE = 0.15;
/** Number of pairs with such a difference from which an estimate is made. */
export const MIN_FIT_PAIRS = 40;
/** Time constant of the decay of residence samples, in milliseconds. */
export const RESIDENCE_DECAY_MS = 10_000;
/** Weight of the prior residence time, as a number of average requests. */
export const PRIOR_RESIDENCE_WEIGHT = 4;
/** Largest number of tokens or milliseconds in a sample; a larger one is no measurement. */
export const MAX_SAMPLE_VALUE = 1e9;
/** Time in which a reported contention loses its weight, in milliseconds; it changes about 20 times a second. */
export const CONTENTION_DECAY_MS = 50;
/**
 * Weight of a new figure in the usual contention of an endpoint: 50 figures arrive in some seconds. With 0.05, one figure
 * of 900 percent made a steady engine look slower than one of 130 percent.
 */
export const USUAL_CONTENTION_WEIGHT = 0.02;
/** Bounds of a reported duration of work in percent; no load of a machine explains a value outside. */
export const MIN_WORK_PERCENT = 10;
export const MAX_WORK_PERCENT = 2_000;
/** Weight of a new sample in the mean duration of calls. */
export const WORK_TIME_WEIGHT = 0.02;
/** Number of samples of an endpoint from which its own mean counts more than that of its service. */
export const PRIOR_WORK_WEIGHT = 8;
/** Longest sample of the duration of calls as a multiple of the mean. */
export const MAX_WORK_SAMPLE_FACTOR = 4;
