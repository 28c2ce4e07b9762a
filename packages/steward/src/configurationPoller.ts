import type { Logger } from '@lovagearch/common';
import {
  type ConfigurationObjects,
  ConfigurationState,
  type ConfigurationTable,
  type ConfigurationView,
  readBundle,
  readHead,
} from '@lovagearch/configuration';

/**
 * Polls the configuration store and keeps the newest revision that it applied. While the store is
 * unreachable, the last applied revision stays in use.
 */
export class ConfigurationPoller {
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
  ): ConfigurationPoller {
    return new ConfigurationPoller(ConfigurationState.create(), table, objects, log);
  }

  get view(): ConfigurationView {
    return this.state.view;
  }

  /** Reads the head and, if its revision is newer, applies its bundle. Never rejects. */
  async poll(): Promise<void> {
    const read = await readHead(this.table);
    if (read.isErr() || read.value.head === null) return;
    const { head } = read.value;
    if (head.revision <= this.state.revision) return;
    const bundle = await readBundle(this.objects, head);
    if (bundle.isErr()) {
      this.log.warn(
        `Failed to read configuration revision ${head.revision}: ${bundle.error.message}.`,
      );
      return;
    }
    const change = this.state.applyBundle(bundle.value, head.digest);
    if (change.isOk()) this.log.info(`Applied configuration revision ${head.revision}.`);
    else this.log.error(`Rejected configuration revision ${head.revision}: ${change.error.type}.`);
  }
}
