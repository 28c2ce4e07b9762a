import { readFileSync, rmSync } from 'node:fs';
import { createDirectory } from './record.mjs';
import { Gateway } from './gateway.mjs';
import { Store } from './store.mjs';

/** Machines that the settings name as seeds. */
const MAX_SEEDS = 3;

/** A small deployment on loopback: the store, and gateways. */
export class Deployment {
  gateways = [];

  parts = [];

  /** Starts the store with a config. */
  static async create(configuration) {
    const deployment = new Deployment();
    deployment.directory = createDirectory();
    deployment.store = await Store.start();
    deployment.parts.push(deployment.store);
    deployment.store.putRow('op', 'config', configuration);
    return deployment;
  }

  /** Keeps a stand-in that ends with the deployment. */
  add(part) {
    this.parts.push(part);
    return part;
  }

  /** Starts gateways for the first time and waits until they are ready. */
  async startGateways(count, bounds = {}) {
    const { directory, gateways, store } = this;
    const seeds = [];
    for (let position = 0; position < count; position++) {
      const options = { position, directory, storePort: store.port, seeds, zone: 'chiayi', bounds };
      const gateway = await Gateway.create(options);
      if (seeds.length < MAX_SEEDS) seeds.push(gateway.controlAddress);
      gateways.push(gateway);
      this.add({ stop: () => gateway.end() });
    }
    for (const gateway of gateways) await gateway.start(true);
    for (const gateway of gateways) await gateway.waitUntilReady();
  }

  /** Lists the lines of a gateway's log that tell an event, oldest first. */
  static listEvents({ logFile }, event) {
    return readFileSync(logFile, 'utf8')
      .split('\n')
      .filter((line) => line.includes(`"event":"${event}"`))
      .map((line) => JSON.parse(line));
  }

  /** Lists what the gateways wrote when they ended by themselves. */
  listFatalLines() {
    return this.gateways.flatMap(({ logFile, name }) =>
      readFileSync(logFile, 'utf8')
        .split('\n')
        .filter((line) => line.startsWith('FATAL ERROR'))
        .map((line) => `${name}: ${line}`),
    );
  }

  /** Ends all processes and removes their settings and logs. */
  async stop() {
    for (const part of this.parts.reverse()) await part.stop();
    rmSync(this.directory, { recursive: true, force: true });
  }
}
