import { parseArgs } from 'node:util';
import {
  createId,
  createLogger,
  getErrorMessage,
  processClock,
  TerminationSignals,
} from '@lovagearch/common';
import { HttpEngineClient } from '@lovagearch/engine-client';
import { HttpObjectClient, HttpTableClient, HttpVmListClient } from '@lovagearch/platform-client';
import { formatSettingsError, loadProcessSettings } from '@lovagearch/settings';
import { startSteward } from './startSteward.js';

const EXIT_BAD_USAGE = 2;
const USAGE = 'usage: lovagearch-steward --settings FILE\n';

const parseSettingsPath = (): string | undefined => {
  try {
    const { values } = parseArgs({ options: { settings: { type: 'string' } } });
    return values.settings;
  } catch (error) {
    process.stderr.write(`${getErrorMessage(error)}\n`);
    return undefined;
  }
};

/** Runs the steward process until SIGTERM or SIGINT. */
export const runMain = async (): Promise<void> => {
  const path = parseSettingsPath();
  if (path === undefined) {
    process.stderr.write(USAGE);
    process.exitCode = EXIT_BAD_USAGE;
    return;
  }
  const loaded = await loadProcessSettings(path);
  if (loaded.isErr()) {
    for (const error of loaded.error) process.stderr.write(`${formatSettingsError(error)}\n`);
    process.exitCode = EXIT_BAD_USAGE;
    return;
  }
  const settings = loaded.value;
  const id = createId(settings.nodeName ?? 'steward');
  const log = createLogger(settings.logLevel).withTag('steward');
  const { tableUrl, objectUrl, vmListUrl } = settings.platform;
  const table = HttpTableClient.create({ url: tableUrl });
  const objects = HttpObjectClient.create({ url: objectUrl });
  const vmList = HttpVmListClient.create({ url: vmListUrl });
  const engines = HttpEngineClient.create();
  const { region, serviceToken } = settings;
  const clients = { table, objects, vmList, engines };
  const clock = processClock;
  const steward = startSteward({
    ...clients,
    id,
    region,
    serviceToken,
    clock,
    random: Math.random,
    log,
  });
  const stop = async () => {
    await steward.stop();
    await Promise.all([table, objects, vmList, engines].map((client) => client.close()));
  };
  TerminationSignals.create((isRepeated) => {
    if (isRepeated) return;
    stop().catch((error: unknown) => log.error(`Shutdown failed: ${getErrorMessage(error)}.`));
  });
  process.stdout.write(`${JSON.stringify({ event: 'listening', id, ports: {} })}\n`);
};
