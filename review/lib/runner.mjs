import { once } from 'node:events';
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1200;
const HTTP_MISDIRECTED = 421;
const HTTP_FULL = 503;

const readBody = async (incoming) => {
  const chunks = [];
  for await (const chunk of incoming) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** Stand-in of a runner: it registers itself in the store and answers requests of its service. */
export class Runner {
  state = 'ready';

  isRegistered = true;

  sequence = 0;

  active = 0;

  sockets = new Set();

  /**
   * @param options `id`, `service`, `zone`, `slots`, `store`, `workMs`, `record`, optional `models`, `queue` (requests that
   * wait before others are rejected), `onArrival`, and `run` for another way
   * to run a request
   */
  static async start(options) {
    const runner = new Runner();
    runner.options = options;
    runner.born = Date.now();
    runner.server = createServer({ keepAliveTimeout: 10_000 }, (incoming, response) => {
      runner.handle(incoming, response).catch(() => incoming.socket.destroy());
    });
    runner.server.on('connection', (socket) => {
      runner.sockets.add(socket);
      socket.once('close', () => runner.sockets.delete(socket));
    });
    runner.server.listen(0, '127.0.0.1');
    await once(runner.server, 'listening');
    runner.address = options.address ?? `127.0.0.1:${runner.server.address().port}`;
    runner.beat();
    runner.timer = setInterval(() => runner.beat(), HEARTBEAT_MS);
    return runner;
  }

  /** Writes the registration. */
  beat() {
    if (!this.isRegistered) return;
    const { id, service, slots, store, zone, models = [] } = this.options;
    this.sequence += 1;
    store.putRow('servers', id, {
      backend: service,
      address: this.address,
      zone,
      version: '1',
      slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.born,
      phase: 'unified',
      models,
    });
  }

  /** Removes the registration; the runner goes on serving. */
  leave() {
    const { id, store } = this.options;
    this.isRegistered = false;
    store.dropRow('servers', id);
  }

  /** Ends like a process that dies: its connections are reset, and it says nothing more. */
  crash() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Headers of every answer of the runner. */
  createHeaders(request) {
    const { id, slots } = this.options;
    return {
      'X-Lovagearch-Request-Id': request,
      'X-Lovagearch-Server-Seal': `seal.${id}.${request}`,
      'X-Lovagearch-Instance-Id': id,
      'X-Lovagearch-Instance-Load': `${Math.min(slots, this.active)},${Math.max(0, this.active - slots)},${slots}`,
    };
  }

  async handle(incoming, response) {
    const body = await readBody(incoming);
    const { id, onArrival, queue = Infinity, record, run, slots, workMs } = this.options;
    const request = incoming.headers['x-lovagearch-request-id'] ?? '';
    const expected = incoming.headers['x-lovagearch-expect-instance'];
    if (expected !== undefined && expected !== id) {
      const headers = { 'X-Lovagearch-Request-Id': request, 'X-Lovagearch-Instance-Id': id };
      response.writeHead(HTTP_MISDIRECTED, { ...headers, 'X-Lovagearch-Not-Executed': '1' }).end();
      return;
    }
    record.add(`${request} reaches ${id}`);
    onArrival?.(this, request, incoming);
    if (this.active >= slots + queue) {
      const headers = { ...this.createHeaders(request), 'X-Lovagearch-Not-Executed': '1' };
      record.add(`${id} is full and doesn't run ${request}`);
      response.writeHead(HTTP_FULL, headers).end();
      return;
    }
    this.active += 1;
    try {
      if (run === undefined) await this.answer(response, request, body, workMs);
      else await run(this, { incoming, response, request, body });
    } finally {
      this.active -= 1;
    }
  }

  async answer(response, request, body, workMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, workMs);
    });
    const text = `answer to ${request} by ${this.options.id}`;
    response.writeHead(200, { ...this.createHeaders(request), 'Content-Length': text.length });
    response.end(text);
  }
}
