import type { Random } from '@lovagearch/common';
import {
  FOLLOWING_PROBE_DELAY_MS,
  FOLLOWING_PROBES,
  MAX_PROBE_INTERVAL_MS,
  MIN_PROBE_INTERVAL_MS,
  PROBE_INTERVAL_MS,
  PROBE_JITTER,
} from './constants.js';

/** An endpoint that is out of reach. */
export interface ProbeTarget {
  readonly key: string;
  readonly service: string;
  /** Whether the endpoint may have ended: nobody hears it, and others of its service are in reach. */
  readonly mayHaveEnded: boolean;
}

interface ServiceSchedule {
  nextAtMs: number;
  /** Clock readings of the probes that follow successful ones. */
  following: number[];
}

interface ProbedEndpoint {
  readonly service: string;
  probedAtMs: number;
  failures: number;
}

/**
 * When a node tries connections to endpoints that are out of reach. Each service is probed at a steady rate, its
 * endpoints in turn; after a success, the number of probes doubles until all of the service are in reach. An endpoint
 * that may have ended is probed ever more rarely.
 *
 * @example
 * const plan = ProbePlan.create(random);
 * for (const { key } of plan.selectDue(targets, clock.nowMs())) probe(key);
 * setTimeout(probeNext, plan.nextAtMs - clock.nowMs());
 */
export class ProbePlan {
  private readonly schedules = new Map<string, ServiceSchedule>();

  private readonly probed = new Map<string, ProbedEndpoint>();

  private constructor(private readonly random: Random) {}

  static create(random: Random): ProbePlan {
    return new ProbePlan(random);
  }

  /** Clock reading at which the next probe is due; infinite if there is nothing to probe. */
  get nextAtMs(): number {
    let nextAtMs = Number.POSITIVE_INFINITY;
    for (const schedule of this.schedules.values())
      nextAtMs = Math.min(nextAtMs, schedule.nextAtMs, ...schedule.following);
    return nextAtMs;
  }

  /** Selects the endpoints to probe now. */
  selectDue(targets: readonly ProbeTarget[], nowMs: number): ProbeTarget[] {
    const byService = new Map<string, ProbeTarget[]>();
    for (const target of targets) {
      const others = byService.get(target.service) ?? [];
      others.push(target);
      byService.set(target.service, others);
    }
    this.removeOthers(byService, targets);
    const intervalMs = Math.max(PROBE_INTERVAL_MS, byService.size * MIN_PROBE_INTERVAL_MS);
    const due: ProbeTarget[] = [];
    for (const [service, candidates] of byService) {
      const schedule = this.schedules.get(service) ?? {
        nextAtMs: nowMs + this.random() * intervalMs,
        following: [],
      };
      this.schedules.set(service, schedule);
      const following = schedule.following.filter((atMs) => atMs > nowMs);
      let count = schedule.following.length - following.length;
      schedule.following = following;
      if (nowMs >= schedule.nextAtMs) {
        count += 1;
        schedule.nextAtMs = nowMs + this.addJitter(intervalMs);
      }
      due.push(...this.takeTargets(candidates, count, nowMs));
    }
    return due;
  }

  /** Records that an endpoint of a service was reached; others of it probably are as well. */
  recordSuccess({ key, service }: Pick<ProbeTarget, 'key' | 'service'>, nowMs: number): void {
    this.probed.delete(key);
    // What failed before the success says little about the others now.
    for (const other of this.probed.values()) if (other.service === service) other.failures = 0;
    const schedule = this.schedules.get(service);
    if (schedule === undefined) return;
    for (let count = 0; count < FOLLOWING_PROBES; count += 1)
      schedule.following.push(nowMs + this.addJitter(FOLLOWING_PROBE_DELAY_MS));
  }

  recordFailure(key: string): void {
    const known = this.probed.get(key);
    if (known !== undefined) known.failures += 1;
  }

  private takeTargets(
    candidates: readonly ProbeTarget[],
    count: number,
    nowMs: number,
  ): ProbeTarget[] {
    if (count === 0) return [];
    const getProbedAtMs = ({ key }: ProbeTarget): number =>
      this.probed.get(key)?.probedAtMs ?? Number.NEGATIVE_INFINITY;
    const taken = candidates
      .filter((target) => nowMs - getProbedAtMs(target) >= this.getPauseMs(target))
      .map((target) => ({ target, order: this.random() }))
      .sort((a, b) => getProbedAtMs(a.target) - getProbedAtMs(b.target) || a.order - b.order)
      .slice(0, count)
      .map(({ target }) => target);
    for (const { key, service } of taken) {
      const failures = this.probed.get(key)?.failures ?? 0;
      this.probed.set(key, { service, probedAtMs: nowMs, failures });
    }
    return taken;
  }

  private getPauseMs({ key, mayHaveEnded }: ProbeTarget): number {
    const failures = this.probed.get(key)?.failures ?? 0;
    if (!mayHaveEnded || failures === 0) return 0;
    return Math.min(PROBE_INTERVAL_MS * 2 ** Math.min(failures, 10), MAX_PROBE_INTERVAL_MS);
  }

  private removeOthers(
    byService: ReadonlyMap<string, unknown>,
    targets: readonly ProbeTarget[],
  ): void {
    for (const service of this.schedules.keys())
      if (!byService.has(service)) this.schedules.delete(service);
    if (this.probed.size <= targets.length) return;
    const keys = new Set(targets.map(({ key }) => key));
    for (const key of this.probed.keys()) if (!keys.has(key)) this.probed.delete(key);
  }

  private addJitter(intervalMs: number): number {
    return intervalMs * (1 + (this.random() * 2 - 1) * PROBE_JITTER);
  }
}
