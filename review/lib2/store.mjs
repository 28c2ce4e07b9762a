import { once } from 'node:events';
import { createServer } from 'node:http';

const encodeValue = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

const readBody = async (incoming) => {
  const chunks = [];
  for await (const chunk of incoming) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

/**
 * Stand-in of the platform's store: tables with versions, a feed of changes and conditional writes. It can be away, and
 * come back from a copy some seconds old, after which `Store-Era` is one higher.
 */
export class Store {
  constructor({ firstEra, record }) {
    this.era = firstEra;
    this.record = record;
    this.rows = new Map();
    this.changes = [];
    this.version = 0;
    this.isAway = false;
    this.waiters = new Set();
    this.startMs = performance.now();
  }

  static async start({ host = '127.0.0.1', firstEra = 1, record = () => undefined } = {}) {
    const store = new Store({ firstEra, record });
    store.server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
      store.handle(incoming, response).catch(() => incoming.socket.destroy());
    });
    store.server.listen(0, host);
    await once(store.server, 'listening');
    store.address = `${host}:${store.server.address().port}`;
    return store;
  }

  /** Writes a row as the operator or a runner does. */
  put(table, key, value) {
    this.apply(table, key, encodeValue(value));
  }

  remove(table, key) {
    if (this.rows.has(`${table}/${key}`)) this.apply(table, key, undefined);
  }

  apply(table, key, value) {
    this.version += 1;
    this.store({ table, key, value, version: this.version });
    this.wake();
  }

  store(change) {
    const name = `${change.table}/${change.key}`;
    if (change.value === undefined) this.rows.delete(name);
    else this.rows.set(name, change);
    if (!this.changes.includes(change)) this.changes.push({ ...change, atMs: performance.now() });
  }

  wake() {
    for (const waiter of [...this.waiters]) waiter();
  }

  goAway() {
    this.isAway = true;
    this.server.closeAllConnections();
    this.wake();
  }

  /** Comes back from a copy of the given age: what was written since is lost, and its versions are given out again. */
  restore(copyAgeMs) {
    const copiedMs = performance.now() - copyAgeMs;
    this.changes = this.changes.filter(({ atMs }) => atMs <= copiedMs);
    this.version = this.changes.at(-1)?.version ?? 0;
    this.rows.clear();
    for (const change of this.changes) {
      const name = `${change.table}/${change.key}`;
      if (change.value === undefined) this.rows.delete(name);
      else this.rows.set(name, change);
    }
    this.era += 1;
    this.isAway = false;
    this.server.closeAllConnections();
    this.wake();
  }

  async stop() {
    this.server.close();
    this.server.closeAllConnections();
    await once(this.server, 'close').catch(() => undefined);
  }

  encodeRow({ table, key, value, version }) {
    const row = { table, part: '', key, row_version: version };
    return value === undefined ? { ...row, deleted: true } : { ...row, value };
  }

  answer(response, status, body) {
    response.writeHead(status, {
      'content-type': 'application/json',
      'store-era': String(this.era),
    });
    response.end(
      JSON.stringify({
        ...body,
        row_version: this.version,
        now_ms: Math.round(performance.now() - this.startMs) + 1_000_000,
      }),
    );
  }

  async handle(incoming, response) {
    const text = await readBody(incoming);
    const { era } = this;
    if (this.isAway) {
      incoming.socket.destroy();
      return;
    }
    const url = new URL(incoming.url, 'http://store');
    const query = url.searchParams;
    switch (url.pathname) {
      case '/api/rows-get':
        this.answer(response, 200, { rows: this.listRows(query), has_more: false });
        return;
      case '/api/rows-feed':
        await this.feed(query, incoming, response, era);
        return;
      case '/api/rows-tx':
        this.transact(JSON.parse(text), response);
        return;
      default:
        this.answer(response, 404, {});
    }
  }

  listRows(query) {
    const table = query.get('table');
    const from = query.get('from') ?? '';
    const to = query.get('to');
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.key >= from && (to === null || row.key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map((row) => this.encodeRow(row));
  }

  async feed(query, incoming, response, era) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    if (after > this.version) {
      this.answer(response, 410, {});
      return;
    }
    const list = () => this.changes.filter((row) => row.version > after && row.table === table);
    const endMs = performance.now() + Number(query.get('wait_ms'));
    while (list().length === 0 && !this.isAway && this.era === era) {
      const leftMs = endMs - performance.now();
      if (leftMs <= 0 || incoming.socket.destroyed) break;
      await this.waitForChange(leftMs);
    }
    if (this.isAway || this.era !== era) incoming.socket.destroy();
    else this.answer(response, 200, { rows: list().map((row) => this.encodeRow(row)) });
  }

  waitForChange(leftMs) {
    return new Promise((resolve) => {
      let timer;
      const finish = () => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      timer = setTimeout(finish, leftMs);
      this.waiters.add(finish);
    });
  }

  transact({ expected_rev: conditions = [], set_keys: sets = [], drop = [] }, response) {
    const find = ({ table, key }) => this.rows.get(`${table}/${key}`);
    const isMet = conditions.every((one) => (find(one)?.version ?? 0) === one.row_version);
    if (!isMet) {
      const current = conditions.map(find).filter((row) => row !== undefined);
      this.answer(response, 412, { rows: current.map((row) => this.encodeRow(row)) });
      return;
    }
    this.version += 1;
    for (const { table, key, value } of sets) {
      this.record({ event: 'store_write', table, key, conditional: conditions.length > 0 });
      this.store({ table, key, value, version: this.version });
    }
    for (const { table, key } of drop)
      this.store({ table, key, value: undefined, version: this.version });
    this.wake();
    this.answer(response, 200, {});
  }
}
