import { parseArgs } from 'node:util';
import { createLogger, getErrorMessage, TerminationSignals } from '@lovagearch/common';
import { formatSettingsError, loadProcessSettings } from '@lovagearch/settings';
import { err, ok, type Result } from 'neverthrow';
import { buildNode } from './buildNode.js';

const USAGE = `Usage: lovagearch-entry --settings FILE

Serves the caller API and the administration API as one node of the cluster.

  --settings FILE  settings file in JSON with comments (docs/operators.md)
  --help           print this help

Prints one JSON line with its ports once it listens. SIGTERM starts a drain; further ones don't change it.
`;

interface UsageError {
  readonly type: 'usage';
  readonly message: string;
}

/** Exit code for invalid arguments or settings. */
const EXIT_BAD_INPUT = 2;

interface Arguments {
  readonly settings?: string | undefined;
  readonly help?: boolean | undefined;
}

const parseArguments = (): Result<Arguments, UsageError> => {
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
  const parsed = parseArguments();
  if (parsed.isErr()) {
    process.stderr.write(`${parsed.error.message}\n${USAGE}`);
    return EXIT_BAD_INPUT;
  }
  const { settings: file, help } = parsed.value;
  if (help === true || file === undefined) {
    process.stdout.write(USAGE);
    return 0;
  }
  const settings = await loadProcessSettings(file);
  if (settings.isErr()) {
    for (const error of settings.error) process.stderr.write(`${formatSettingsError(error)}\n`);
    return EXIT_BAD_INPUT;
  }
  const log = createLogger(settings.value.logLevel);
  const signals = TerminationSignals.create(() => {
    // The node has no callers yet; its parts would keep the process alive.
    // eslint-disable-next-line n/no-process-exit
    process.exit(0);
  });
  const node = await buildNode(settings.value, log);
  const { id, ports } = node;
  const requested = new Promise<void>((resolve) => {
    signals.setHandler((isRepeated) => {
      const action = isRepeated ? 'already draining' : 'draining';
      log.withTag('entry').info(`Received a termination signal; ${action}.`);
      resolve();
    });
  });
  process.stdout.write(`${JSON.stringify({ event: 'listening', id, ports })}\n`);
  await requested;
  await node.stop();
  return 0;
};

process.on('unhandledRejection', (error) => {
  // An unhandled rejection must not end the process, which would break the streams of all callers.
  process.stderr.write(`unhandled rejection: ${getErrorMessage(error)}\n`);
});

try {
  process.exitCode = await runEntry();
} catch (error) {
  process.stderr.write(`lovagearch-entry: ${getErrorMessage(error)}\n`);
  // Parts of the node that have started would keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(1);
}
