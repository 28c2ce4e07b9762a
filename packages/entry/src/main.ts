import { parseArgs } from 'node:util';
import { createLogger, getErrorMessage } from '@lovagearch/common';
import { formatSettingsError, loadProcessSettings } from '@lovagearch/settings';
import { err, ok, type Result } from 'neverthrow';
import { buildNode } from './buildNode.js';

const USAGE = `Usage: lovagearch-entry --settings FILE

Serves callers and takes part in the cluster as one node.

  --settings FILE  settings in JSON with comments (docs/operators.md)
  --help           shows this text

Prints one JSON line with its ports once it listens. SIGTERM drains it.
`;

interface UsageError {
  readonly type: 'usage';
  readonly message: string;
}

/** Exit code of wrong usage or settings. */
const EXIT_BAD_USAGE = 2;

interface Arguments {
  readonly settings?: string | undefined;
  readonly help?: boolean | undefined;
}

const readArguments = (): Result<Arguments, UsageError> => {
  try {
    const options = { settings: { type: 'string' }, help: { type: 'boolean' } } as const;
    const { values } = parseArgs({ options });
    const isUsable = values.help === true || values.settings !== undefined;
    return isUsable ? ok(values) : err({ type: 'usage', message: '--settings FILE is required' });
  } catch (error) {
    return err({ type: 'usage', message: getErrorMessage(error) });
  }
};

const runEntry = async (): Promise<number> => {
  const parsed = readArguments();
  if (parsed.isErr()) {
    process.stderr.write(`${parsed.error.message}\n${USAGE}`);
    return EXIT_BAD_USAGE;
  }
  const { settings: file, help } = parsed.value;
  if (help === true || file === undefined) {
    process.stdout.write(USAGE);
    return 0;
  }
  const settings = await loadProcessSettings(file);
  if (settings.isErr()) {
    for (const error of settings.error) process.stderr.write(`${formatSettingsError(error)}\n`);
    return EXIT_BAD_USAGE;
  }
  const log = createLogger(settings.value.logLevel);
  const node = await buildNode(settings.value, log);
  const { id, ports } = node;
  process.stdout.write(`${JSON.stringify({ event: 'listening', id, ports })}\n`);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  log.withTag('entry').info('Draining.');
  await node.stop();
  return 0;
};

process.on('unhandledRejection', (error) => {
  // A forgotten promise must not end the streams of all callers.
  process.stderr.write(`unhandled rejection: ${getErrorMessage(error)}\n`);
});

try {
  process.exitCode = await runEntry();
} catch (error) {
  process.stderr.write(`lovagearch-entry: ${getErrorMessage(error)}\n`);
  process.exitCode = 1;
}
