import type { Logger } from '@lovagearch/common';
import {
  type ConfigurationObjects,
  ConfigurationState,
  type ConfigurationTable,
  type ConfigurationView,
  readBundle,
  readHead,
} from '@lovagearch/configuration';

/** Keeps the newest configuration that the store showed; the last one stays through outages. */
export class ConfigurationWatch {
  private constructor(
    private readonly state: ConfigurationState,
    private readonly table: ConfigurationTable,
    private readonly objects: ConfigurationObjects,
    private readonly log: Logger,
  ) {}

  static create(
    table: ConfigurationTable,
    objects: ConfigurationObjects,
    log: Logger,
  ): ConfigurationWatch {
    return new ConfigurationWatch(ConfigurationState.create(), table, objects, log);
  }

  get view(): ConfigurationView {
    return this.state.view;
  }

  /** Reads the head and, if it is newer, its bundle. It never rejects. */
  async runCycle(): Promise<void> {
    const read = await readHead(this.table);
    if (read.isErr() || read.value.head === null) return;
    const { head } = read.value;
    if (head.revision <= this.state.revision) return;
    const bundle = await readBundle(this.objects, head);
    if (bundle.isErr()) {
      this.log.warn(`Revision ${head.revision} can't be read: ${bundle.error.message}.`);
      return;
    }
    const change = this.state.applyBundle(bundle.value, head.digest);
    if (change.isOk()) this.log.info(`Revision ${head.revision} is in force.`);
    else this.log.error(`Revision ${head.revision} is refused: ${change.error.type}.`);
  }
}
