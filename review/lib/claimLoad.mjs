import { setTimeout as wait } from 'node:timers/promises';
import { createChannel, createRequestId, sendRequest } from './client.mjs';
import { createRoute, HOST, KEY } from './configuration.mjs';
import { Runner } from './runner.mjs';

/** Time that a claim takes at its runner. */
const CLAIM_MS = 4000;
/** The clients begin at different times within this period, so that they do not send in step. */
const FIRST_CLAIM_WITHIN_MS = 2000;
const RECONNECT_DELAY_MS = 100;
const HTTP_OK = 200;

/** Clients that send claims one after another, each over a channel that it keeps, to two sound runners. */
export class ClaimLoad {
  claims = new Map();

  isEnding = false;

  clients = [];

  static create(record) {
    const load = new ClaimLoad();
    load.record = record;
    return load;
  }

  static createRoute() {
    return createRoute('payout-claim', 'non_idempotent', 'ledger', { target_latency_ms: 5000 });
  }

  /** Starts the runners of the claims, which end with the deployment. */
  async startRunners(deployment) {
    const { store } = deployment;
    const { record } = this;
    for (const id of ['i-sound-1', 'i-sound-2']) {
      const onArrival = (_runner, request) => {
        this.claims.get(request).hasReachedRunner = true;
      };
      const options = { id, service: 'ledger', zone: 'chiayi', slots: 12, store };
      deployment.add(await Runner.start({ ...options, record, workMs: CLAIM_MS, onArrival }));
    }
  }

  startClients(gateway, count) {
    for (let index = 0; index < count; index++) this.clients.push(this.runClient(gateway));
  }

  async stop() {
    this.isEnding = true;
    await Promise.all(this.clients);
  }

  /** Whether claims have been answered by their runners. */
  get hasServedClaims() {
    return [...this.claims.values()].some(({ isServed }) => isServed);
  }

  /** Claims of kept channels that had reached a runner when their channel closed without an answer. */
  listLost() {
    return [...this.claims.values()].filter(
      ({ hasReachedRunner, isAnswered, isKept }) => hasReachedRunner && isKept && !isAnswered,
    );
  }

  async runClient(gateway) {
    await wait(Math.random() * FIRST_CLAIM_WITHIN_MS);
    let agent = createChannel();
    let isKept = false;
    while (!this.isEnding) {
      const id = createRequestId();
      const claim = { isKept, hasReachedRunner: false, isAnswered: false };
      this.claims.set(id, claim);
      const answer = await sendRequest(gateway, {
        agent,
        record: this.record,
        id,
        method: 'POST',
        path: `/payout-claim/${id}`,
        body: `claim ${id}`,
        host: HOST,
        key: KEY,
        timeLimitMs: 15_000,
      });
      claim.isAnswered = answer.isComplete;
      claim.isServed = answer.status === HTTP_OK;
      this.record.add(`${id} ends with ${answer.status ?? answer.error}`);
      isKept = true;
      if (claim.isAnswered) continue;
      agent.destroy();
      agent = createChannel();
      isKept = false;
      await wait(RECONNECT_DELAY_MS);
    }
    agent.destroy();
  }
}
