import {
  MAX_RESIDENCE_MS,
  MAX_WORK_SAMPLE_FACTOR,
  PRIOR_WORK_WEIGHT,
  WORK_TIME_WEIGHT,
} from './constants.js';

/**
 * Mean duration of the work of a call, without waiting and contention. Samples that are much longer than the mean have
 * waited unnoticed and are bounded.
 *
 * @example
 * const ofEndpoint = WorkTime.create();
 * ofEndpoint.record(21);
 * const workMs = ofEndpoint.estimate(ofService.estimate(DEFAULT_MS));
 */
export class WorkTime {
  private meanMs = 0;

  private samples = 0;

  static create(): WorkTime {
    return new WorkTime();
  }

  record(workMs: number): void {
    if (!(workMs >= 0) || workMs > MAX_RESIDENCE_MS) return;
    const boundedMs =
      this.samples === 0 ? workMs : Math.min(workMs, this.meanMs * MAX_WORK_SAMPLE_FACTOR + 1);
    this.samples += 1;
    const weight = Math.max(WORK_TIME_WEIGHT, 1 / this.samples);
    this.meanMs += (boundedMs - this.meanMs) * weight;
  }

  /** Returns the mean duration; a value that is known otherwise counts like some samples. */
  estimate(priorMs: number): number {
    const priorShare = PRIOR_WORK_WEIGHT / (PRIOR_WORK_WEIGHT + this.samples);
    return priorMs * priorShare + this.meanMs * (1 - priorShare);
  }
}
