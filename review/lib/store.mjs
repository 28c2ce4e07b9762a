import { once } from 'node:events';
import { createServer } from 'node:http';

const HTTP_OK = 200;
const HTTP_CONFLICT = 412;
const HTTP_NOT_FOUND = 404;

const encodeValue = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

const readText = async (incoming) => {
  const chunks = [];
  for await (const chunk of incoming) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

/** Stand-in of the platform's metadata store: tables, changes and conditional writes. */
export class Store {
  rows = new Map();

  history = [];

  version = 0;

  waiters = new Set();

  static async start() {
    const store = new Store();
    store.server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
      store.handle(incoming, response).catch(() => incoming.socket.destroy());
    });
    store.server.listen(0, '127.0.0.1');
    await once(store.server, 'listening');
    return store;
  }

  get port() {
    return this.server.address().port;
  }

  /** Writes a row as the operator or a runner does. */
  putRow(table, key, value) {
    return this.applyChange(table, key, encodeValue(value));
  }

  dropRow(table, key) {
    return this.applyChange(table, key, undefined);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  applyChange(table, key, value) {
    this.version += 1;
    const row = { table, part: '', key, row_version: this.version };
    if (value === undefined) {
      this.rows.delete(`${table}/${key}`);
      this.history.push({ ...row, deleted: true });
    } else {
      this.rows.set(`${table}/${key}`, { ...row, value });
      this.history.push({ ...row, value });
    }
    for (const wake of this.waiters) wake();
    return this.version;
  }

  async handle(incoming, response) {
    const body = await readText(incoming);
    const url = new URL(incoming.url, 'http://store');
    const { status, rows, more } = await this.execute(url, body);
    const answer = { rows, row_version: this.version, now_ms: performance.now(), ...more };
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer));
  }

  async execute({ pathname, searchParams }, body) {
    const table = searchParams.get('table');
    if (pathname === '/api/rows-get') {
      const from = searchParams.get('from') ?? '';
      const to = searchParams.get('to');
      const rows = [...this.rows.values()]
        .filter((row) => row.table === table && row.key >= from && (to === null || row.key < to))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return { status: HTTP_OK, rows, more: { has_more: false } };
    }
    if (pathname === '/api/rows-feed') {
      const after = Number(searchParams.get('after'));
      const endMs = performance.now() + Number(searchParams.get('wait_ms'));
      const listChanges = () =>
        this.history.filter((row) => row.row_version > after && row.table === table);
      while (listChanges().length === 0 && performance.now() < endMs)
        await this.waitForChange(endMs - performance.now());
      return { status: HTTP_OK, rows: listChanges() };
    }
    if (pathname === '/api/rows-tx') return this.executeTransaction(JSON.parse(body));
    return { status: HTTP_NOT_FOUND, rows: [] };
  }

  executeTransaction({ expected_rev: conditions = [], set_keys: writes = [], drop = [] }) {
    const findRow = ({ table, key }) => this.rows.get(`${table}/${key}`);
    const holds = conditions.every(
      (condition) => (findRow(condition)?.row_version ?? 0) === condition.row_version,
    );
    if (!holds) {
      const rows = conditions.map(findRow).filter((row) => row !== undefined);
      return { status: HTTP_CONFLICT, rows };
    }
    for (const { table, key, value } of writes) this.applyChange(table, key, value);
    for (const { table, key } of drop) this.applyChange(table, key, undefined);
    return { status: HTTP_OK, rows: [] };
  }

  waitForChange(maxMs) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(finish.timer);
        this.waiters.delete(finish);
        resolve();
      };
      finish.timer = setTimeout(finish, maxMs);
      this.waiters.add(finish);
    });
  }
}
