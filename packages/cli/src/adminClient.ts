import { getErrorMessage } from '@lovagearch/common';
import type { Vm } from '@lovagearch/platform-client';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { ADMIN_TIMEOUT_MS, MAX_ADMIN_RESPONSE_BYTES } from './constants.js';

export interface AdminError {
  readonly type: 'no_admin_port' | 'refused' | 'unreachable';
  readonly message: string;
}

/** Response of one node to an administration request, or why there is none. */
export interface NodeResult {
  readonly node: string;
  readonly result: Result<unknown, AdminError>;
}

/** HTTP client for the administration API of nodes. */
export class AdminClient {
  private readonly agent = new Agent({
    connect: { timeout: ADMIN_TIMEOUT_MS },
    maxResponseSize: MAX_ADMIN_RESPONSE_BYTES,
  });

  private constructor(private readonly operatorKey: string) {}

  /** @param operatorKey bearer token, sent to nodes only and never printed */
  static create(operatorKey: string): AdminClient {
    return new AdminClient(operatorKey);
  }

  /** Sends a GET request for a path below `/v1/` to one node, for example `configuration`. */
  async read(vm: Vm, path: string): Promise<Result<unknown, AdminError>> {
    const port = vm.ports.admin;
    if (port === undefined)
      return err({ type: 'no_admin_port', message: 'the node has no administration port' });
    try {
      const response = await request(`http://${vm.host}:${port}/v1/${path}`, {
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${this.operatorKey}` },
        headersTimeout: ADMIN_TIMEOUT_MS,
        bodyTimeout: ADMIN_TIMEOUT_MS,
      });
      const body: unknown = JSON.parse(await response.body.text());
      if (response.statusCode === 200) return ok(body);
      return err({ type: 'refused', message: `HTTP status ${response.statusCode}` });
    } catch (error) {
      return err({ type: 'unreachable', message: getErrorMessage(error) });
    }
  }

  /** Reads the same path from several nodes concurrently. */
  async readAll(vms: readonly Vm[], path: string): Promise<readonly NodeResult[]> {
    const results = vms.map(async (vm) => ({ node: vm.id, result: await this.read(vm, path) }));
    return Promise.all(results);
  }

  async close(): Promise<void> {
    await this.agent.close();
  }
}
