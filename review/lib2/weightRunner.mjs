import { once } from 'node:events';
import { createServer } from 'node:http';

const LOAD_MS = 760;

/** Stand-in of a model runner, as far as orders concern it: reports, and orders with new weights. */
export class WeightRunner {
  constructor({ id, model, version, onOrder }) {
    this.id = id;
    this.model = model;
    this.version = version;
    this.onOrder = onOrder;
    this.sequence = 0;
    this.isBusy = false;
  }

  static async start(options) {
    const runner = new WeightRunner(options);
    runner.server = createServer((incoming, response) => runner.handle(incoming, response));
    runner.server.listen(0, '127.0.0.1');
    await once(runner.server, 'listening');
    runner.address = `127.0.0.1:${runner.server.address().port}`;
    return runner;
  }

  get models() {
    return [{ name: this.model, version: this.version, adapters: [] }];
  }

  async handle(incoming, response) {
    const chunks = [];
    for await (const chunk of incoming) chunks.push(chunk);
    const expected = incoming.headers['x-lovagearch-expect-instance'];
    const answer = (status, body = {}) => {
      response.writeHead(status, {
        'content-type': 'application/json',
        'x-lovagearch-instance-id': this.id,
      });
      response.end(JSON.stringify(body));
    };
    if (expected !== undefined && expected !== this.id) answer(421);
    else if (incoming.url === '/api/report') answer(200, this.createReport());
    else if (incoming.url === '/api/order')
      answer(this.takeOrder(JSON.parse(Buffer.concat(chunks).toString())));
    else answer(404);
  }

  createReport() {
    const { isBusy: busy, models, sequence } = this;
    const counts = { queued: 0, active: 0, kv_used: 0, kv_total: 160_000, handles: 0 };
    return { phase: 'unified', models, busy, sequence, ...counts };
  }

  takeOrder(order) {
    const status = this.decide(order);
    this.onOrder({ runner: this.id, status, ...order });
    return status;
  }

  decide({ owner, fencing_token: token, model, version, expected_rev: expected }) {
    if (owner === undefined || token === undefined || model !== this.model) return 400;
    if (version <= this.version) return 200;
    if (this.isBusy || (expected !== undefined && expected !== this.sequence)) return 409;
    this.sequence += 1;
    this.isBusy = true;
    setTimeout(() => {
      this.version = version;
      this.isBusy = false;
    }, LOAD_MS);
    return 202;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
