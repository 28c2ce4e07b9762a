import { BoundedMap, type EndpointId, type Fingerprint } from '@lovagearch/common';
import { CRASH_CORRELATION_MS, MAX_FINGERPRINTS } from './constants.js';
import type { ContainmentEntry } from './types.js';

/**
 * Suspects and quarantines, with the rules by which reports of one crash from several nodes are
 * joined. Every node that has the same reports comes to the same entries.
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

  /** Returns the fingerprints that an endpoint's crashes have brought in. */
  listByEndpoint(endpoint: EndpointId, nowMs: number): [Fingerprint, ContainmentEntry][] {
    return [...this.entries].filter(
      ([, entry]) => entry.endpoint === endpoint && entry.untilMs > nowMs,
    );
  }

  /** Returns all entries that are in force, for the administration API. */
  listAll(nowMs: number): [Fingerprint, ContainmentEntry][] {
    return [...this.entries].filter(([, entry]) => entry.untilMs > nowMs);
  }

  /** Adds an entry, joins it with others of the same crash, and returns what it became. */
  add(fingerprint: Fingerprint, entry: ContainmentEntry): ContainmentEntry | undefined {
    const nowMs = entry.sinceMs;
    const known = this.get(fingerprint, nowMs);
    // A quarantine that a trial proved stands until its time is over.
    if (known?.type === 'quarantined' && known.isTrial) return known;
    const sameCrash = this.listByEndpoint(entry.endpoint, nowMs).filter(
      ([other, { sinceMs }]) => other !== fingerprint && nowMs - sinceMs < CRASH_CORRELATION_MS,
    );
    if (entry.isTrial) {
      for (const [other, { isTrial }] of sameCrash) if (!isTrial) this.entries.delete(other);
      this.entries.set(fingerprint, entry);
      return entry;
    }
    // The crash is explained already.
    if (sameCrash.some(([, { isTrial }]) => isTrial)) return known;
    if (sameCrash.length === 0) {
      this.entries.set(fingerprint, entry);
      return entry;
    }
    // More than one request ran on the endpoint, so each is a suspect.
    for (const [other, { ...otherEntry }] of sameCrash) {
      this.entries.set(other, { ...otherEntry, type: 'suspect' });
    }
    const joined: ContainmentEntry = { ...entry, type: 'suspect' };
    this.entries.set(fingerprint, joined);
    return joined;
  }

  /** Adds an entry that another node has in force; what is known here stands. */
  addFromSnapshot(fingerprint: Fingerprint, entry: ContainmentEntry, nowMs: number): void {
    if (this.get(fingerprint, nowMs) === undefined) this.entries.set(fingerprint, entry);
  }

  delete(fingerprint: Fingerprint): void {
    this.entries.delete(fingerprint);
  }

  /** Removes all entries of an endpoint that proved faulty itself. */
  removeEndpoint(endpoint: EndpointId): void {
    for (const [fingerprint, entry] of [...this.entries]) {
      if (entry.endpoint === endpoint) this.entries.delete(fingerprint);
    }
  }
}
