import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { computeSha256Hex } from '@lovagearch/common';
import type { Vm } from '@lovagearch/platform-client';
import { getStandinFile, startProcess, type StartedProcess } from '@lovagearch/standins';
import { request } from 'undici';
import { runCommand, type CommandResult } from './commands.js';
import type { ConfigurationFile } from './deployments.js';
import { FaultProxy, type FaultProxyOptions } from './faultProxy.js';
import { waitUntil } from './waiting.js';

/** Where a VM of the cluster stands. */
export interface Place {
  readonly region: string;
  readonly zone: string;
}

export type ClusterVm = Vm & { readonly process: StartedProcess };

export interface ClusterOptions {
  readonly platform?: object;
  /** Settings that are added to those of each entry process. */
  readonly settings?: object;
  /** Puts a fault proxy in front of each endpoint and store VM. */
  readonly hasProxies?: boolean;
  /** Returns delay and bandwidth of the proxy in front of a VM; none without it. */
  readonly getLinks?: (id: string) => Pick<FaultProxyOptions, 'towardsCaller' | 'towardsTarget'>;
  /** Puts a fault proxy in front of the peer port of each entry process, as `<id>/peer`. */
  readonly hasPeerProxies?: boolean;
  /** Puts a fault proxy between the system and the platform. */
  readonly hasPlatformProxy?: boolean;
}

const OPERATOR_KEY = 'operator-key-of-tests';
const SERVICE_TOKEN = 'service-token-of-tests';
const CONVERGENCE_TIMEOUT_MS = 20_000;

const getProgram = (name: string): string =>
  fileURLToPath(new URL(`../../${name}`, import.meta.url));

/**
 * Real processes on loopback: stand-ins of the platform, engines, store VMs and plain services, and
 * entry processes of the product.
 *
 * @example
 * const cluster = await Cluster.start();
 * await cluster.startEngine('runner-1', place, { models });
 * await cluster.startEntry('entry-1', place);
 * await cluster.publish(files);
 * await cluster.stop();
 */
export class Cluster {
  readonly vms = new Map<string, ClusterVm>();

  readonly proxies = new Map<string, FaultProxy>();

  /** Clusters that have been started and not yet stopped. */
  private static readonly running = new Set<Cluster>();

  private readonly stewards: StartedProcess[] = [];

  private readonly stopHandlers: (() => Promise<void>)[] = [];

  private stopping: Promise<void> | undefined;

  private constructor(
    readonly folder: string,
    readonly platform: StartedProcess,
    readonly platformProxy: FaultProxy | undefined,
    private readonly options: ClusterOptions,
  ) {}

  static async start(options: ClusterOptions = {}): Promise<Cluster> {
    const folder = await mkdtemp(join(tmpdir(), 'lovagearch-'));
    await writeFile(join(folder, 'cluster.key'), 'cluster-key-of-tests-0123456789abcdef');
    await writeFile(join(folder, 'service.token'), SERVICE_TOKEN);
    await writeFile(join(folder, 'operator.key'), OPERATOR_KEY);
    const platform = await startProcess(getStandinFile('platform'), {
      id: 'platform',
      vmListLagMs: 500,
      callDelayMs: 2,
      ...options.platform,
    });
    const proxy =
      options.hasPlatformProxy === true
        ? await FaultProxy.start({ targetHost: '127.0.0.1', targetPort: platform.ports.main ?? 0 })
        : undefined;
    const cluster = new Cluster(folder, platform, proxy, options);
    Cluster.running.add(cluster);
    return cluster;
  }

  /** Stops the clusters that are still running, such as that of a case that timed out. */
  static async stopAll(): Promise<void> {
    for (const cluster of [...Cluster.running]) await cluster.stop();
  }

  get operatorKey(): string {
    return OPERATOR_KEY;
  }

  get serviceToken(): string {
    return SERVICE_TOKEN;
  }

  /** Returns the entry processes that the VM list names as live. */
  listEntries(): ClusterVm[] {
    return [...this.vms.values()].filter(({ role, state }) => role === 'entry' && state === 'live');
  }

  getVm(id: string): ClusterVm {
    const vm = this.vms.get(id);
    if (vm === undefined) throw new RangeError(`no VM ${id}`);
    return vm;
  }

  async startEngine(id: string, place: Place, service: string, options: object): Promise<void> {
    const started = await startProcess(getStandinFile('engine'), {
      id,
      checksCaller: true,
      serviceToken: SERVICE_TOKEN,
      ...options,
    });
    await this.addVm('runner', service, id, place, started);
  }

  async startStore(id: string, place: Place, options: object = {}): Promise<void> {
    const started = await startProcess(getStandinFile('store'), { id, ...options });
    await this.addVm('store', null, id, place, started);
  }

  async startService(
    id: string,
    place: Place,
    service: string,
    options: object = {},
  ): Promise<void> {
    const started = await startProcess(getStandinFile('service'), {
      id,
      checksCaller: true,
      serviceToken: SERVICE_TOKEN,
      ...options,
    });
    await this.addVm('service', service, id, place, started);
  }

  /** Writes the settings of an entry process and returns the file. */
  async writeSettings(id: string, place: Place, settings: object = {}): Promise<string> {
    const file = join(this.folder, `${id}.jsonc`);
    const platformPort = this.platformProxy?.port ?? this.platform.ports.main ?? 0;
    const platformUrl = `http://127.0.0.1:${platformPort}`;
    const content = {
      ...place,
      nodeName: id,
      listen: { host: '127.0.0.1', callerPort: 0, adminPort: 0, peerPort: 0 },
      platform: { tableUrl: platformUrl, objectUrl: platformUrl, vmListUrl: platformUrl },
      seeds: this.listEntries()
        .slice(0, 3)
        .map(({ host, ports }) => `${host}:${ports.peer ?? 0}`),
      clusterKeyFile: 'cluster.key',
      serviceTokenFile: 'service.token',
      operatorKeySha256: [computeSha256Hex(OPERATOR_KEY)],
      runShards: 8,
      logLevel: process.env.LOVAGEARCH_LOG_LEVEL ?? 'error',
      historyFile: join(this.folder, `${id}.history`),
      ...this.options.settings,
      ...settings,
    };
    await writeFile(file, JSON.stringify(content, undefined, 2));
    return file;
  }

  async startEntry(id: string, place: Place, settings: object = {}): Promise<ClusterVm> {
    const proxy = await this.startPeerProxy(id);
    const peerAddress = proxy === undefined ? {} : { peerAddress: `127.0.0.1:${proxy.port}` };
    const file = await this.writeSettings(id, place, { ...peerAddress, ...settings });
    const program = getProgram('entry/bin/lovagearch-entry.js');
    const started = await startProcess(program, ['--settings', file]);
    proxy?.setTargetPort(started.ports.peer ?? 0);
    await this.addVm('entry', null, id, place, started);
    return this.getVm(id);
  }

  async startSteward(id: string, place: Place): Promise<StartedProcess> {
    const file = await this.writeSettings(id, place);
    const program = getProgram('steward/bin/lovagearch-steward.js');
    const started = await startProcess(program, ['--settings', file]);
    this.stewards.push(started);
    return started;
  }

  /** Runs the operators' command line. */
  async runCli(args: readonly string[]): Promise<CommandResult> {
    return runCommand(getProgram('cli/bin/lovagearch.js'), args, {
      LOVAGEARCH_OPERATOR_KEY: OPERATOR_KEY,
    });
  }

  /**
   * Publishes configuration files through the command line and waits until all nodes have them;
   * it doesn't wait before the first node.
   */
  async publish(files: readonly ConfigurationFile[], name = 'tests'): Promise<CommandResult> {
    const folder = join(this.folder, `services-${name}`);
    await rm(folder, { recursive: true, force: true });
    await mkdir(folder, { recursive: true });
    for (const file of files) {
      await writeFile(join(folder, `${file.name}.lovagearch.jsonc`), JSON.stringify(file));
    }
    const settings = await this.writeSettings('operator', { region: 'any', zone: 'any' });
    const wait = this.listEntries().length === 0 ? [] : ['--wait', '14'];
    return this.runCli(['publish', folder, '--settings', settings, '--name', name, ...wait]);
  }

  /** Tells the VM list that a VM is leaving or gone. */
  async updateVm(id: string, state: 'gone' | 'leaving' | 'live'): Promise<void> {
    const vm = this.getVm(id);
    if (state === 'gone') this.vms.delete(id);
    else this.vms.set(id, { ...vm, state });
    await this.publishVmList();
  }

  async readAdmin(entry: ClusterVm, path: string): Promise<unknown> {
    const response = await request(`${entry.process.url('admin')}${path}`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    return response.body.json();
  }

  /** Returns the base URL at which callers reach an entry process. */
  getCallerUrl(entry: ClusterVm): string {
    return entry.process.url('caller');
  }

  /** Sets the faults of a stand-in. */
  async setFaults(id: string, faults: object): Promise<void> {
    const started = id === 'platform' ? this.platform : this.getVm(id).process;
    await request(`${started.url()}/control/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
      headers: { 'content-type': 'application/json' },
    });
  }

  /** Reads a control route of a stand-in. */
  async readControl(id: string, path: string): Promise<unknown> {
    const response = await request(`${this.getVm(id).process.url()}/control/${path}`);
    return response.body.json();
  }

  /** Waits until every entry process is ready to serve. */
  async waitReady(): Promise<void> {
    for (const entry of this.listEntries()) {
      await waitUntil(`${entry.id} is ready`, CONVERGENCE_TIMEOUT_MS, async () => {
        const response = await request(`${this.getCallerUrl(entry)}/readyz`);
        await response.body.dump();
        return response.statusCode === 200;
      });
    }
  }

  /** Registers work that uses the cluster and has to end when the cluster stops. */
  addStopHandler(handler: () => Promise<void>): void {
    this.stopHandlers.push(handler);
  }

  /** Ends registered work and all processes. Later calls wait for the first one. */
  async stop(): Promise<void> {
    this.stopping ??= this.stopParts();
    await this.stopping;
  }

  private async stopParts(): Promise<void> {
    Cluster.running.delete(this);
    // Proxies and processes go first: their end also ends the requests that callers wait for.
    for (const proxy of this.proxies.values()) await proxy.stop();
    await this.platformProxy?.stop();
    const vms = [...this.vms.values()].map((vm) => vm.process);
    for (const started of [...vms, ...this.stewards, this.platform]) {
      started.kill('SIGKILL');
      await started.waitForExit();
    }
    await Promise.all(this.stopHandlers.map(async (handler) => handler()));
    await rm(this.folder, { recursive: true, force: true });
  }

  private async startPeerProxy(id: string): Promise<FaultProxy | undefined> {
    if (this.options.hasPeerProxies !== true) return undefined;
    const proxy = await FaultProxy.start({ targetHost: '127.0.0.1', targetPort: 0 });
    this.proxies.set(`${id}/peer`, proxy);
    return proxy;
  }

  private async addVm(
    role: Vm['role'],
    service: string | null,
    id: string,
    place: Place,
    started: StartedProcess,
  ): Promise<void> {
    let { ports } = started;
    if (role !== 'entry' && this.options.hasProxies === true) {
      const proxy = await FaultProxy.start({
        targetHost: '127.0.0.1',
        targetPort: ports.main ?? 0,
        ...this.options.getLinks?.(id),
      });
      this.proxies.set(id, proxy);
      ports = { main: proxy.port };
    }
    const peerProxy = this.proxies.get(`${id}/peer`);
    if (peerProxy !== undefined) ports = { ...ports, peer: peerProxy.port };
    const { region, zone } = place;
    this.vms.set(id, {
      id,
      role,
      service,
      host: '127.0.0.1',
      ports,
      zone,
      region,
      state: 'live',
      process: started,
    });
    await this.publishVmList();
  }

  private async publishVmList(): Promise<void> {
    const vms = [...this.vms.values()].map(({ process: started, ...vm }) => vm);
    await request(`${this.platform.url()}/control/vms`, {
      method: 'PUT',
      body: JSON.stringify({ vms }),
      headers: { 'content-type': 'application/json' },
    });
  }
}
