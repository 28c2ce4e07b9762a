import { fileURLToPath } from 'node:url';
import { Record } from './record.mjs';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * Plays a case and sets the exit code of the process.
 *
 * @param url URL of the script of the case; the record is written beside it
 * @param play starts the deployment that it passes to `keep`, and returns whether the rule was broken, or undefined if
 * there was nothing to judge
 */
export const runCase = async (url, play) => {
  const record = Record.create(fileURLToPath(new URL('record.txt', url)));
  let deployment;
  // The processes of the deployment end with this one.
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () => {
      // eslint-disable-next-line n/no-process-exit
      process.exit(EXIT_NOT_RUN);
    });
  let exitCode = EXIT_NOT_RUN;
  const keep = (created) => {
    deployment = created;
    return created;
  };
  try {
    const isBroken = await play(record, keep);
    if (isBroken !== undefined) exitCode = isBroken ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    record.add(`the case could not run: ${error.message}`);
  }
  for (const line of deployment?.listFatalLines() ?? []) record.add(line);
  await deployment?.stop();
  record.add(`exit code ${exitCode}`);
  process.exitCode = exitCode;
};
