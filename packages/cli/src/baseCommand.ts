import { createLogger, type Logger } from '@lovagearch/common';
import type { Vm } from '@lovagearch/platform-client';
import {
  formatSettingsError,
  loadSettings,
  MAX_KEY_FILE_BYTES,
  readTextFile,
  type Settings,
  settingsSchema,
} from '@lovagearch/settings';
import { Command, Flags } from '@oclif/core';
import { AdminClient } from './adminClient.js';
import {
  EXIT_BAD_INPUT,
  EXIT_PLATFORM_UNAVAILABLE,
  OPERATOR_KEY_VARIABLE,
  SETTINGS_VARIABLE,
} from './constants.js';
import { createPlatformClients, type PlatformClients } from './platformClients.js';

export const settingsFlag = Flags.string({
  description: 'settings file with the URLs of the platform',
  env: SETTINGS_VARIABLE,
  required: true,
});

export const operatorKeyFileFlag = Flags.string({
  description: `file with the operator key; default: the environment variable ${OPERATOR_KEY_VARIABLE}`,
});

/** Base class of all commands. Results go to standard output, messages to standard error. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  protected readonly logger: Logger = createLogger('info');

  /** Callbacks that close connections when the command ends, also after a failure. */
  private readonly closeCallbacks: (() => Promise<void>)[] = [];

  protected override async finally(error: Error | undefined): Promise<void> {
    for (const close of this.closeCallbacks) await close();
    await super.finally(error);
  }

  /** Prints `lines` as the error message and ends the command with an exit code. */
  protected fail(exitCode: number, lines: readonly string[]): never {
    if (this.jsonEnabled()) return this.error(lines.join('\n'), { exit: exitCode });
    // oclif wraps error messages at the terminal width, which would split them over several lines.
    for (const line of lines) this.logToStderr(line);
    return this.exit(exitCode);
  }

  protected async loadSettings(file: string): Promise<Settings> {
    const settings = await loadSettings(file, settingsSchema);
    if (settings.isOk()) return settings.value;
    return this.fail(EXIT_BAD_INPUT, settings.error.map(formatSettingsError));
  }

  protected async openPlatform(settingsFile: string): Promise<PlatformClients> {
    const platform = createPlatformClients(await this.loadSettings(settingsFile));
    this.closeCallbacks.push(platform.close);
    return platform;
  }

  protected async createAdminClient(keyFile: string | undefined): Promise<AdminClient> {
    const admin = AdminClient.create(await this.readOperatorKey(keyFile));
    this.closeCallbacks.push(() => admin.close());
    return admin;
  }

  /** Lists the live entry VMs. */
  protected async listNodes(platform: PlatformClients): Promise<readonly Vm[]> {
    const vms = await platform.vmList.read();
    if (vms.isErr()) {
      return this.fail(EXIT_PLATFORM_UNAVAILABLE, [
        `failed to read the VM list: ${vms.error.message}`,
      ]);
    }
    return vms.value.filter((vm) => vm.role === 'entry' && vm.state === 'live');
  }

  private async readOperatorKey(file: string | undefined): Promise<string> {
    if (file === undefined) {
      const key = process.env[OPERATOR_KEY_VARIABLE]?.trim() ?? '';
      if (key !== '') return key;
      return this.fail(EXIT_BAD_INPUT, [
        `no operator key: set ${OPERATOR_KEY_VARIABLE} or pass --operator-key-file`,
      ]);
    }
    const text = await readTextFile(file, MAX_KEY_FILE_BYTES);
    const key = text.unwrapOr('').trim();
    if (key !== '') return key;
    return this.fail(EXIT_BAD_INPUT, [
      `${file}: operator key file is unreadable, empty or too large`,
    ]);
  }
}
