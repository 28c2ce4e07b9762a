import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import type { Agent } from 'undici';
import { z } from 'zod';
import { VM_LIST_TIMEOUT_MS } from './constants.js';
import { createAgent, parseJson, sendHttpRequest } from './httpRequest.js';
import { type Vm, type VmListClient, type VmListError, vmSchema } from './types.js';

const vmListSchema = z.object({ vms: z.array(vmSchema) });

export interface VmListClientOptions {
  readonly url: string;
  readonly timeoutMs?: number;
}

/**
 * HTTP client of the platform's VM list.
 *
 * @example
 * const vms = await HttpVmListClient.create({ url: 'http://127.0.0.1:9000' }).read();
 */
export class HttpVmListClient implements VmListClient {
  private constructor(
    private readonly agent: Agent,
    private readonly options: Required<VmListClientOptions>,
  ) {}

  static create(options: VmListClientOptions): HttpVmListClient {
    return new HttpVmListClient(createAgent(), { timeoutMs: VM_LIST_TIMEOUT_MS, ...options });
  }

  readonly read = (): ResultAsync<readonly Vm[], VmListError> =>
    sendHttpRequest(this.agent, {
      method: 'GET',
      url: `${this.options.url}/v1/vms`,
      timeoutMs: this.options.timeoutMs,
    })
      .mapErr(({ message }): VmListError => ({ type: 'unavailable', message }))
      .andThen(({ status, body }): Result<readonly Vm[], VmListError> => {
        const parsed = vmListSchema.safeParse(parseJson(body));
        if (status === 200 && parsed.success) return ok(parsed.data.vms);
        const message = `the VM list responded with status ${status} and an unexpected body`;
        return err({ type: 'unavailable', message });
      });

  readonly close = async (): Promise<void> => {
    await this.agent.destroy();
  };
}
