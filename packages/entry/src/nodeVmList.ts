import { MS_PER_SECOND, type Logger } from '@lovagearch/common';
import type { Vm, VmListClient } from '@lovagearch/platform-client';
import { NodeTimer } from './nodeTimer.js';
import type { NodePart } from './types.js';

const READ_INTERVAL_MS = 2 * MS_PER_SECOND;

/** Reads the VM list every 2 s; while it can't be read, the last one stays in force. */
export class NodeVmList implements NodePart {
  private isAvailable = true;

  private constructor(
    private readonly client: VmListClient,
    private readonly log: Logger,
    private readonly apply: (vms: readonly Vm[]) => void,
    private timer?: NodeTimer,
  ) {}

  static start(client: VmListClient, log: Logger, apply: (vms: readonly Vm[]) => void): NodeVmList {
    const part = new NodeVmList(client, log.withTag('vms'), apply);
    part.timer = NodeTimer.start(
      () => part.read(),
      () => READ_INTERVAL_MS,
      part.log,
    );
    return part;
  }

  readonly stop = async (): Promise<void> => {
    await this.timer?.stop();
  };

  private async read(): Promise<void> {
    const vms = await this.client.read();
    if (vms.isErr() && this.isAvailable) this.log.warn('The VM list is not available.');
    this.isAvailable = vms.isOk();
    if (vms.isOk()) this.apply(vms.value);
  }
}
