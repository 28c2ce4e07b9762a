import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { vmSchema } from '@lovagearch/platform-client';
import { request } from 'undici';
import { z } from 'zod';

const vmListSchema = z.object({ vms: z.array(vmSchema) });

/**
 * The VM list as one region sees it: the ports of endpoints in other regions are those of the
 * proxies that emulate the link.
 *
 * @example
 * const view = await RegionVmList.start(platformUrl, new Map([['runner-9', 41_234]]));
 */
export class RegionVmList {
  private constructor(
    private readonly server: Server,
    private readonly platformUrl: string,
    private readonly proxyPorts: ReadonlyMap<string, number>,
  ) {}

  /** @param proxyPorts port of the proxy by VM id; read on each call, so that it may grow */
  static async start(
    platformUrl: string,
    proxyPorts: ReadonlyMap<string, number>,
  ): Promise<RegionVmList> {
    const server = createServer();
    const view = new RegionVmList(server, platformUrl, proxyPorts);
    server.on('request', (_message, response) => {
      view.readVms().then(
        (body) => {
          response.setHeader('content-type', 'application/json');
          response.end(body);
        },
        () => {
          response.statusCode = 503;
          response.end();
        },
      );
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return view;
  }

  get url(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.closeAllConnections();
    this.server.close();
    await closed;
  }

  private async readVms(): Promise<string> {
    const response = await request(`${this.platformUrl}/v1/vms`);
    const { vms } = vmListSchema.parse(await response.body.json());
    const rewritten = vms.map((vm) => {
      const port = this.proxyPorts.get(vm.id);
      return port === undefined ? vm : { ...vm, ports: { main: port } };
    });
    return JSON.stringify({ vms: rewritten });
  }
}
