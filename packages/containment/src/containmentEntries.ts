import { BoundedMap, type EndpointId, type Fingerprint } from '@lovagearch/common';
import { CRASH_CORRELATION_MS, MAX_FINGERPRINTS } from './constants.js';
import type { ContainmentEntry } from './types.js';

/**
 * Suspects and quarantines, with the rules that correlate reports of one crash from several nodes.
 * Nodes that have received the same reports arrive at the same entries.
 */
export class ContainmentEntries {
  private readonly entries = BoundedMap.create<Fingerprint, ContainmentEntry>(MAX_FINGERPRINTS);

  static create(): ContainmentEntries {
    return new ContainmentEntries();
  }

  get(fingerprint: Fingerprint, nowMs: number): ContainmentEntry | undefined {
    const entry = this.entries.peek(fingerprint);
    if (entry === undefined || entry.untilMs > nowMs) return entry;
    this.entries.delete(fingerprint);
    return undefined;
  }

  /** Returns the active entries caused by crashes of an endpoint. */
  listByEndpoint(endpoint: EndpointId, nowMs: number): [Fingerprint, ContainmentEntry][] {
    return [...this.entries].filter(
      ([, entry]) => entry.endpoint === endpoint && entry.untilMs > nowMs,
    );
  }

  /** Returns all active entries, for the administration API. */
  listAll(nowMs: number): [Fingerprint, ContainmentEntry][] {
    return [...this.entries].filter(([, entry]) => entry.untilMs > nowMs);
  }

  /**
   * Adds an entry, correlates it with others of the same crash, and returns the resulting entry.
   */
  add(fingerprint: Fingerprint, entry: ContainmentEntry): ContainmentEntry | undefined {
    const nowMs = entry.sinceMs;
    const known = this.get(fingerprint, nowMs);
    // A quarantine confirmed by a trial stays until it expires.
    if (known?.type === 'quarantined' && known.isTrial) return known;
    const sameCrash = this.listByEndpoint(entry.endpoint, nowMs).filter(
      ([other, { sinceMs }]) => other !== fingerprint && nowMs - sinceMs < CRASH_CORRELATION_MS,
    );
    if (entry.isTrial) {
      for (const [other, { isTrial }] of sameCrash) if (!isTrial) this.entries.delete(other);
      this.entries.set(fingerprint, entry);
      return entry;
    }
    // A trial has already identified the cause of this crash.
    if (sameCrash.some(([, { isTrial }]) => isTrial)) return known;
    if (sameCrash.length === 0) {
      this.entries.set(fingerprint, entry);
      return entry;
    }
    // Several requests were running on the endpoint, so each of them is a suspect.
    for (const [other, { ...otherEntry }] of sameCrash) {
      this.entries.set(other, { ...otherEntry, type: 'suspect' });
    }
    const suspect: ContainmentEntry = { ...entry, type: 'suspect' };
    this.entries.set(fingerprint, suspect);
    return suspect;
  }

  /** Adds an entry from another node's snapshot unless this node already has one. */
  addFromSnapshot(fingerprint: Fingerprint, entry: ContainmentEntry, nowMs: number): void {
    if (this.get(fingerprint, nowMs) === undefined) this.entries.set(fingerprint, entry);
  }

  delete(fingerprint: Fingerprint): void {
    this.entries.delete(fingerprint);
  }

  /** Removes all entries caused by an endpoint that is faulty itself. */
  removeEndpoint(endpoint: EndpointId): void {
    for (const [fingerprint, entry] of [...this.entries]) {
      if (entry.endpoint === endpoint) this.entries.delete(fingerprint);
    }
  }
}
