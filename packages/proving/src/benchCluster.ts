import { setTimeout as waitMs } from 'node:timers/promises';
import type { RoutingPolicy } from '@lovagearch/routing';
import {
  CACHE_TOKENS,
  KV_BYTES_PER_TOKEN,
  LINK_BYTES_PER_SECOND,
  LINK_DELAY_MS,
  MAX_BATCH,
  PREFILL_TOKENS_PER_SECOND,
  STEP_MS,
  STORE_BYTES_PER_SECOND,
  type BenchDeployment,
  type BenchZone,
} from './benchDeployments.js';
import { WEIGHT_VERSION } from './benchFloor.js';
import { RegionVmList } from './benchVmList.js';
import { ACCOUNTS } from './benchWorkload.js';
import { Cluster, type ClusterVm } from './cluster.js';
import {
  createAccountFile,
  createModelFile,
  createModelServiceFile,
  createPlainServiceFile,
} from './deployments.js';
import { FaultProxy } from './faultProxy.js';
import { LinkDirection } from './link.js';

export type PolicyName = RoutingPolicy['type'];

/** Time for the nodes to meet and to watch all endpoints before the first request. */
const SETTLE_MS = 2_500;

/**
 * A deployment as real processes on loopback. The runners and service instances of the other region
 * are reached through proxies that share one emulated link; store VMs and peers are reached
 * directly, since cache data never crosses the link by design and peers use a few kB/s.
 */
export class BenchCluster {
  /** The link by the region that it leads into. */
  readonly links = new Map<string, LinkDirection>();

  private readonly views: RegionVmList[] = [];

  private readonly linkProxies: FaultProxy[] = [];

  private constructor(
    readonly cluster: Cluster,
    readonly deployment: BenchDeployment,
  ) {
    for (const region of deployment.regions) {
      const link = LinkDirection.create({
        delayMs: LINK_DELAY_MS,
        bytesPerSecond: LINK_BYTES_PER_SECOND,
      });
      this.links.set(region, link);
    }
  }

  /** Starts all processes, publishes the configuration and waits until the nodes are ready. */
  static async start(deployment: BenchDeployment, policy: PolicyName): Promise<BenchCluster> {
    const bench = new BenchCluster(await Cluster.start(), deployment);
    try {
      await bench.startEndpoints();
      // Nodes that start later read the configuration at once, without the interval of their polls.
      await bench.publish();
      await bench.startEntries(policy);
      await bench.cluster.waitReady();
      await waitMs(SETTLE_MS);
      return bench;
    } catch (error) {
      await bench.stop();
      throw error;
    }
  }

  /** Bytes that have crossed the link, both ways. */
  get linkBytes(): number {
    let bytes = 0;
    for (const link of this.links.values()) bytes += link.totalBytes;
    return bytes;
  }

  listEntries(region: string): ClusterVm[] {
    return this.cluster.listEntries().filter((entry) => entry.region === region);
  }

  /** Returns the live VMs of a role. */
  listVms(role: ClusterVm['role']): ClusterVm[] {
    return [...this.cluster.vms.values()].filter((vm) => vm.role === role);
  }

  async stop(): Promise<void> {
    for (const proxy of this.linkProxies) await proxy.stop();
    for (const view of this.views) await view.stop();
    await this.cluster.stop();
  }

  private async startEndpoints(): Promise<void> {
    const { regions, zones } = this.deployment;
    const stores = regions.map(async (region) => {
      const zone = zones.find((other) => other.region === region)?.zone ?? '';
      const options = { bytesPerSecond: STORE_BYTES_PER_SECOND };
      return this.cluster.startStore(`store-${region}`, { region, zone }, options);
    });
    await Promise.all(stores);
    await Promise.all(zones.map(async (zone) => this.startZone(zone)));
  }

  private async startZone({ region, zone, runners, instances }: BenchZone): Promise<void> {
    const { modelService, plainService, model } = this.deployment;
    const place = { region, zone };
    const started = Array.from({ length: runners }, async (_, index) =>
      this.cluster.startEngine(`${zone}-runner-${index + 1}`, place, modelService, {
        models: [{ model, weightVersion: WEIGHT_VERSION, adapters: [] }],
        prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
        stepMs: STEP_MS,
        maxBatch: MAX_BATCH,
        cacheTokens: CACHE_TOKENS,
        kvBytesPerToken: KV_BYTES_PER_TOKEN,
        seed: index + 1,
      }),
    );
    await Promise.all(started);
    for (let index = 1; index <= instances; index++) {
      await this.cluster.startService(`${zone}-instance-${index}`, place, plainService);
    }
  }

  private async startEntries(policy: PolicyName): Promise<void> {
    const { regions, zones } = this.deployment;
    for (const region of regions) {
      const vmListUrl = await this.startRegionView(region);
      const platformUrl = this.cluster.platform.url();
      const inRegion = zones.filter((zone) => zone.region === region);
      let entries = 0;
      for (const zone of inRegion) entries += zone.entries;
      for (const { zone, entries: count } of inRegion) {
        for (let index = 1; index <= count; index++) {
          await this.cluster.startEntry(
            `${zone}-entry-${index}`,
            { region, zone },
            {
              platform: { tableUrl: platformUrl, objectUrl: platformUrl, vmListUrl },
              linkBytesPerSecond: Math.floor(LINK_BYTES_PER_SECOND / entries),
              routingPolicy: policy,
            },
          );
        }
      }
    }
  }

  /** Starts the proxies to the endpoints of the other region and the VM list that names them. */
  private async startRegionView(region: string): Promise<string> {
    const ports = new Map<string, number>();
    for (const role of ['runner', 'service'] as const) {
      for (const vm of this.listVms(role).filter((other) => other.region !== region)) {
        const towardsTarget = this.links.get(vm.region);
        const towardsCaller = this.links.get(region);
        const proxy = await FaultProxy.start({
          targetHost: vm.host,
          targetPort: vm.process.ports.main ?? 0,
          ...(towardsTarget === undefined ? {} : { towardsTarget }),
          ...(towardsCaller === undefined ? {} : { towardsCaller }),
        });
        this.linkProxies.push(proxy);
        ports.set(vm.id, proxy.port);
      }
    }
    const view = await RegionVmList.start(this.cluster.platform.url(), ports);
    this.views.push(view);
    return view.url;
  }

  private async publish(): Promise<void> {
    const { modelService, plainService, model, oncePath } = this.deployment;
    const services = [modelService, plainService];
    const result = await this.cluster.publish([
      createModelServiceFile(modelService, {
        kvBytesPerToken: KV_BYTES_PER_TOKEN,
        prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
        storeBytesPerSecond: STORE_BYTES_PER_SECOND,
      }),
      createPlainServiceFile(plainService, [oncePath]),
      createModelFile(model, modelService, WEIGHT_VERSION),
      ...ACCOUNTS.map((account) => createAccountFile(account, services)),
    ]);
    if (result.exitCode !== 0) throw new Error(`publish failed: ${result.stderr}`);
  }
}
