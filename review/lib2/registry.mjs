import { HEARTBEAT_MS } from './world.mjs';

/** Writes the entries of runners into the store, as the runners do about every heartbeat. */
export class Registry {
  constructor(store) {
    this.store = store;
    this.entries = new Map();
    this.timer = setInterval(() => this.writeAll(), HEARTBEAT_MS);
  }

  add(id, entry) {
    const full = {
      zone: 'z1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      born: Date.now(),
      sequence: 1,
      ...entry,
    };
    this.entries.set(id, full);
    this.store.put('servers', id, full);
  }

  /** A runner that crashed writes nothing more; its entry lapses after three heartbeats. */
  crash(id) {
    this.entries.delete(id);
    setTimeout(() => this.store.remove('servers', id), 3 * HEARTBEAT_MS);
  }

  /** Runners that leave report it at once. */
  drain(ids) {
    for (const id of ids) {
      const entry = this.entries.get(id);
      entry.state = 'draining';
      entry.sequence += 1;
      this.store.put('servers', id, entry);
    }
  }

  /** Removes the entries of runners that have left. */
  leave(ids) {
    for (const id of ids) {
      this.entries.delete(id);
      this.store.remove('servers', id);
    }
  }

  writeAll() {
    if (this.store.isAway) return;
    for (const [id, entry] of this.entries) {
      entry.sequence += 1;
      this.store.put('servers', id, entry);
    }
  }

  stop() {
    clearInterval(this.timer);
  }
}
