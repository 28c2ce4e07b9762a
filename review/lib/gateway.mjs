import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { once } from 'node:events';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 25;

/** Words of the command that the deploy file gives for a role. */
const readCommand = (role) => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const command = /^run = "(.*)"$/m.exec(section)?.[1];
  if (command === undefined) throw new Error(`no command for the role ${role}`);
  return command.split(' ');
};

/** Finds ports that are free on an address; all are held until the last is known. */
const findFreePorts = async (host, count) => {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer().listen(0, host);
    await once(server, 'listening');
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    server.close();
    await once(server, 'close');
  }
  return ports;
};

/** Bounds and sizes of the small deployments in the settings example of the platform's pages. */
const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2500,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2500,
  downgrade_slack_ms: 250,
  outer_ms: 5000,
  revoke_fail_closed: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 58,
  recovery_s: 12,
  transit_ms: 200,
  retry_after_s: 20,
  fencing_enforced: false,
  lease_ms: 3000,
  thaw_slack_ms: 300,
  version_ms: 10_000,
  version_all_ms: 14_000,
};

/** Processes that run, which must not outlive the script. */
const children = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

/** One machine with the gateway of the deploy file as a process. */
export class Gateway {
  /**
   * @param options `position` among the gateways, `directory` for settings and logs, `storePort`, `seeds`, `zone`, and
   * `bounds` that differ from those of the example
   */
  static async create(options) {
    const gateway = new Gateway();
    gateway.options = options;
    gateway.name = `edge-${options.position}`;
    // Each machine has an address of its own; runs at the same time use different ones.
    gateway.host = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}.${1 + options.position}`;
    const [front, readiness, control, first, last] = await findFreePorts(gateway.host, 5);
    gateway.ports = { front, readiness, control, first, last };
    return gateway;
  }

  get controlAddress() {
    return `${this.host}:${this.ports.control}`;
  }

  get logFile() {
    return join(this.options.directory, `${this.name}.log`);
  }

  async start(isFirstStart = false) {
    const { directory } = this.options;
    const file = join(directory, `${this.name}.json`);
    await writeFile(file, JSON.stringify(this.createSettings(isFirstStart)));
    const [program, ...words] = readCommand('gateway');
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LOVAGEARCH_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(this.logFile, { flags: 'a' });
    this.child.stdout.pipe(log);
    this.child.stderr.pipe(log);
    const { child } = this;
    children.add(child);
    child.once('exit', () => children.delete(child));
    this.exited = once(child, 'exit');
  }

  async waitUntilReady() {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (performance.now() > endMs) throw new Error(`${this.name} is not ready`);
      await wait(POLL_MS);
    }
  }

  isReady() {
    return new Promise((resolve) => {
      const call = get(
        { host: this.host, port: this.ports.readiness, path: '/api/readiness', agent: false },
        (incoming) => {
          incoming.resume();
          resolve(incoming.statusCode === 200);
        },
      );
      call.once('error', () => resolve(false));
    });
  }

  async end(name = 'SIGKILL') {
    if (this.child === undefined || this.child.exitCode !== null || this.child.signalCode !== null)
      return;
    this.child.kill(name);
    await this.exited;
  }

  createSettings(isFirstStart) {
    const { host, name, options, ports } = this;
    return {
      node_name: name,
      role: 'gateway',
      machine_class: 'edge',
      serves: ['edge', 'control_plane'],
      ip: host,
      zone: options.zone,
      region: 'south',
      zones: { chiayi: 'south', tainan: 'south', taoyuan: 'north' },
      listen: {
        front: `${host}:${ports.front}`,
        readiness: `${host}:${ports.readiness}`,
        control: this.controlAddress,
      },
      ephemeral_ports: [ports.first, ports.last],
      seeds: options.seeds,
      bootstrap: isFirstStart,
      fault_counted: false,
      limits: {
        cpu_share: 0.675,
        cores: 1,
        memory_mb: 200,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      invariants: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'kvcache',
        'stream',
        'engine',
        'tenants',
        'platform',
      ],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: { ...BOUNDS, ...options.bounds },
      provider: {
        address: `127.0.0.1:${options.storePort}`,
        form: 'table',
        writes_per_s: 400,
        reads_per_s: 2000,
        txn_ms: 5,
        partition_writes_s: 200,
        row_bytes: 65_536,
        cross_partition: false,
        history_s: 20,
        blob_bytes: 8_388_608,
        blob_ms: 25,
        blob_mb_s: 80,
      },
    };
  }
}
