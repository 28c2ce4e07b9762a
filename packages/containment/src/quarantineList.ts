import { assertNever, type EndpointId, type Fingerprint } from '@lovagearch/common';
import { FAULTY_MS, MAX_CRASHES_WITH_OUTPUT, QUARANTINE_MS, SUSPECT_MS } from './constants.js';
import type { ContainmentSnapshot } from './containmentSnapshot.js';
import { ContainmentEntries } from './containmentEntries.js';
import { CrashHistory } from './crashHistory.js';
import { StreamingCrashCounter } from './streamingCrashCounter.js';
import { RunningRequests } from './runningRequests.js';
import type { ContainmentDecision, ContainmentEntry, ContainmentEvent } from './types.js';

/** How a run ended; `other` neither clears nor incriminates the request. */
export type RunEnd = 'completed' | 'crashed' | 'other';

/**
 * Suspects and quarantines known to one node. The `record` methods return the events to send to
 * other nodes.
 *
 * @example
 * const list = QuarantineList.create();
 * list.recordStart(endpoint, fingerprint, clock.nowMs());
 * const events = list.recordEnd(endpoint, fingerprint, 'crashed', clock.nowMs());
 */
export class QuarantineList {
  private readonly entries = ContainmentEntries.create();

  private readonly running = RunningRequests.create();

  private readonly history = CrashHistory.create();

  private readonly streamingCrashes = StreamingCrashCounter.create();

  static create(): QuarantineList {
    return new QuarantineList();
  }

  /** Decides whether a request may run, and where. */
  getDecision(fingerprint: Fingerprint, nowMs: number): ContainmentDecision {
    const entry = this.entries.get(fingerprint, nowMs);
    if (entry === undefined) return { type: 'clear' };
    const { endpoint, untilMs } = entry;
    if (entry.type === 'quarantined') return { type: 'quarantined', remainingMs: untilMs - nowMs };
    return { type: 'only_on', endpoint, isTrialRunning: this.running.hasTrial(endpoint, nowMs) };
  }

  /**
   * Returns whether an endpoint is out of rotation because it crashes regardless of the request.
   */
  isFaulty(endpoint: EndpointId, nowMs: number): boolean {
    return this.history.isFaulty(endpoint, nowMs);
  }

  /** Returns the active entries, for the administration API. */
  listEntries(nowMs: number): [Fingerprint, ContainmentEntry][] {
    return this.entries.listAll(nowMs);
  }

  /** Returns all active entries, for a node that missed events. */
  getSnapshot(nowMs: number): ContainmentSnapshot {
    const entries = this.entries
      .listAll(nowMs)
      .map(([fingerprint, { endpoint, isTrial, type, untilMs }]) => ({
        type,
        fingerprint,
        endpoint,
        isTrial,
        remainingMs: untilMs - nowMs,
      }));
    return { entries, faulty: this.history.listFaulty(nowMs) };
  }

  /** Adds the entries of another node's snapshot that this node does not have. */
  applySnapshot({ entries, faulty }: ContainmentSnapshot, nowMs: number): void {
    for (const { endpoint, remainingMs } of faulty) {
      if (this.isFaulty(endpoint, nowMs)) continue;
      this.history.markFaulty(endpoint, nowMs, Math.min(remainingMs, FAULTY_MS));
    }
    for (const { endpoint, fingerprint, isTrial, remainingMs, type } of entries) {
      const limitMs = type === 'suspect' ? SUSPECT_MS : QUARANTINE_MS;
      const untilMs = nowMs + Math.min(remainingMs, limitMs);
      // Back-dated so that an old crash is not correlated with one that is reported now.
      const sinceMs = nowMs - Math.max(0, limitMs - remainingMs);
      const entry = { type, endpoint, isTrial, sinceMs, untilMs };
      this.entries.addFromSnapshot(fingerprint, entry, nowMs);
    }
  }

  recordStart(
    endpoint: EndpointId,
    fingerprint: Fingerprint,
    nowMs: number,
  ): readonly ContainmentEvent[] {
    const entry = this.entries.get(fingerprint, nowMs);
    const isTrial = entry?.type === 'suspect' && entry.endpoint === endpoint;
    this.running.add(endpoint, fingerprint, isTrial);
    return isTrial ? [{ type: 'trial', fingerprint, endpoint, isRunning: true }] : [];
  }

  /** Records that a request has produced output, which makes it an unlikely cause of a crash. */
  recordOutput(endpoint: EndpointId, fingerprint: Fingerprint): void {
    this.running.markOutput(endpoint, fingerprint);
  }

  /** Records how a run ended. A completed trial clears the suspect. */
  recordEnd(
    endpoint: EndpointId,
    fingerprint: Fingerprint,
    end: RunEnd,
    nowMs: number,
  ): readonly ContainmentEvent[] {
    if (end === 'crashed') return this.recordCrash(endpoint, fingerprint, nowMs);
    const isTrial = this.running.remove(endpoint, fingerprint);
    if (!isTrial) return [];
    const ended: ContainmentEvent = { type: 'trial', fingerprint, endpoint, isRunning: false };
    if (end !== 'completed') return [ended];
    if (this.entries.get(fingerprint, nowMs)?.type === 'suspect') this.entries.delete(fingerprint);
    return [ended, { type: 'cleared', fingerprint, endpoint }];
  }

  /**
   * Applies an event from another node.
   *
   * @returns events to send in turn: only if the endpoint turns out to be faulty
   */
  applyEvent(event: ContainmentEvent, nowMs: number): readonly ContainmentEvent[] {
    switch (event.type) {
      case 'suspect':
      case 'quarantined':
        return this.applyEntry(event, nowMs);
      case 'cleared':
        if (this.entries.get(event.fingerprint, nowMs)?.type === 'suspect') {
          this.entries.delete(event.fingerprint);
        }
        return [];
      case 'trial':
        this.running.updateRemoteTrial(event.endpoint, event.fingerprint, event.isRunning, nowMs);
        return [];
      case 'faulty':
        this.entries.removeEndpoint(event.endpoint);
        this.history.markFaulty(event.endpoint, nowMs, Math.min(event.remainingMs, FAULTY_MS));
        return [];
      default:
        return assertNever(event);
    }
  }

  private recordCrash(
    endpoint: EndpointId,
    fingerprint: Fingerprint,
    nowMs: number,
  ): readonly ContainmentEvent[] {
    const trials = this.running.listTrials(endpoint);
    const isUnlikelyCause =
      this.running.hasOutput(endpoint, fingerprint) && !trials.includes(fingerprint);
    if (isUnlikelyCause) return this.recordCrashAfterOutput(endpoint, fingerprint, nowMs);
    const candidates = [...new Set([fingerprint, ...this.running.listWithoutOutput(endpoint)])];
    this.running.remove(endpoint, fingerprint);
    if (this.isFaulty(endpoint, nowMs)) return [];
    if (this.history.recordCrash(endpoint, trials[0] ?? fingerprint, nowMs)) {
      return this.markFaulty(endpoint, nowMs);
    }
    const [trial] = trials;
    if (trial !== undefined && trials.length === 1) {
      return this.addEntries(endpoint, [trial], 'quarantined', true, nowMs);
    }
    const type = candidates.length === 1 ? 'quarantined' : 'suspect';
    return this.addEntries(endpoint, candidates, type, false, nowMs);
  }

  private recordCrashAfterOutput(
    endpoint: EndpointId,
    fingerprint: Fingerprint,
    nowMs: number,
  ): readonly ContainmentEvent[] {
    this.running.remove(endpoint, fingerprint);
    if (this.isFaulty(endpoint, nowMs)) return [];
    if (this.history.recordCrash(endpoint, fingerprint, nowMs)) {
      return this.markFaulty(endpoint, nowMs);
    }
    const crashes = this.streamingCrashes.record(fingerprint, endpoint, nowMs);
    if (crashes < MAX_CRASHES_WITH_OUTPUT) return [];
    return this.addEntries(endpoint, [fingerprint], 'quarantined', true, nowMs);
  }

  private addEntries(
    endpoint: EndpointId,
    fingerprints: readonly Fingerprint[],
    type: ContainmentEntry['type'],
    isTrial: boolean,
    nowMs: number,
  ): readonly ContainmentEvent[] {
    const events: ContainmentEvent[] = [];
    const remainingMs = type === 'suspect' ? SUSPECT_MS : QUARANTINE_MS;
    for (const fingerprint of fingerprints) {
      const known = this.entries.get(fingerprint, nowMs);
      // Already reported together with another request of the same crash.
      if (known?.endpoint === endpoint && !isTrial) continue;
      const untilMs = nowMs + remainingMs;
      const entry = { type, endpoint, isTrial, sinceMs: nowMs, untilMs };
      const added = this.entries.add(fingerprint, entry);
      if (added === undefined) continue;
      if (added.type === 'suspect') {
        events.push({ type: 'suspect', fingerprint, endpoint, remainingMs });
      } else events.push({ type: 'quarantined', fingerprint, endpoint, remainingMs, isTrial });
    }
    return events;
  }

  private applyEntry(
    event: Extract<ContainmentEvent, { type: 'quarantined' | 'suspect' }>,
    nowMs: number,
  ): readonly ContainmentEvent[] {
    const { endpoint, fingerprint, type } = event;
    if (this.isFaulty(endpoint, nowMs)) return [];
    if (this.history.recordCrash(endpoint, fingerprint, nowMs)) {
      return this.markFaulty(endpoint, nowMs);
    }
    const limitMs = type === 'suspect' ? SUSPECT_MS : QUARANTINE_MS;
    this.entries.add(fingerprint, {
      type,
      endpoint,
      isTrial: type === 'quarantined' && event.isTrial,
      sinceMs: nowMs,
      untilMs: nowMs + Math.min(event.remainingMs, limitMs),
    });
    if (type === 'quarantined' && event.isTrial) {
      this.running.updateRemoteTrial(endpoint, fingerprint, false, nowMs);
    }
    return [];
  }

  private markFaulty(endpoint: EndpointId, nowMs: number): readonly ContainmentEvent[] {
    this.entries.removeEndpoint(endpoint);
    this.history.markFaulty(endpoint, nowMs, FAULTY_MS);
    return [{ type: 'faulty', endpoint, remainingMs: FAULTY_MS }];
  }
}
