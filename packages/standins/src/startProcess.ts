import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { z } from 'zod';

const listeningSchema = z.object({
  event: z.literal('listening'),
  id: z.string(),
  ports: z.record(z.string(), z.number().int()),
});

/** A process of a test; see `startProcess`. */
export interface StartedProcess {
  readonly id: string;
  readonly pid: number;
  readonly ports: Readonly<Record<string, number>>;
  /** Returns the base URL of a port by its name; `main` by default. */
  readonly url: (name?: string) => string;
  readonly kill: (signal?: NodeJS.Signals) => void;
  /** Waits for the end; the code is null if a signal ended the process. */
  readonly waitForExit: () => Promise<{
    readonly code: number | null;
    readonly signal: NodeJS.Signals | null;
  }>;
}

/** Processes to end with this one. */
const children = new Set<ChildProcess>();

const stopChildren = (): void => {
  for (const child of children) child.kill('SIGKILL');
};

const registerChild = (child: ChildProcess): void => {
  if (children.size === 0 && process.listenerCount('exit', stopChildren) === 0) {
    process.on('exit', stopChildren);
  }
  children.add(child);
  child.once('exit', () => children.delete(child));
};

const parseLine = (line: string): z.infer<typeof listeningSchema> | undefined => {
  try {
    return listeningSchema.safeParse(JSON.parse(line)).data;
  } catch {
    return undefined;
  }
};

const waitForListening = async (
  child: ChildProcess,
  mainFile: string,
): Promise<z.infer<typeof listeningSchema>> => {
  if (child.stdout === null) throw new Error('the process has no standard output');
  const lines = createInterface({ input: child.stdout });
  for await (const line of lines) {
    const listening = parseLine(line);
    if (listening === undefined) continue;
    // Later output is read and dropped, so that a full pipe can't block the process.
    child.stdout.resume();
    return listening;
  }
  throw new Error(`${mainFile} ended before it listened`);
};

/** Lets this process end although the child is still running; the child is ended with it. */
const markAsBackground = (child: ChildProcess): void => {
  child.unref();
  child.channel?.unref();
  if (child.stdout !== null && 'unref' in child.stdout) (child.stdout.unref as () => void)();
};

const waitForExit = async (
  child: ChildProcess,
): Promise<{ readonly code: number | null; readonly signal: NodeJS.Signals | null }> => {
  if (child.exitCode === null && child.signalCode === null) {
    child.ref();
    await once(child, 'exit');
  }
  return { code: child.exitCode, signal: child.signalCode };
};

/**
 * Starts a Node.js program and waits until it listens. The program ends with this process at the
 * latest, so that a test leaves none behind.
 *
 * @param mainFile path of the program
 * @param options passed as one JSON argument; a list is passed as separate arguments
 * @example
 * const engine = await startProcess(getStandinFile('engine'), { models: [] });
 * await fetch(`${engine.url()}/v1/status`);
 * engine.kill();
 */
export const startProcess = async (
  mainFile: string,
  options: object | readonly string[] = {},
): Promise<StartedProcess> => {
  const args = Array.isArray(options) ? (options as string[]) : [JSON.stringify(options)];
  // A stand-in ends when the IPC channel closes, also if this process is ended by SIGKILL.
  const child = spawn(process.execPath, [mainFile, ...args], {
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
  });
  registerChild(child);
  const { id, ports } = await waitForListening(child, mainFile);
  markAsBackground(child);
  return {
    id,
    ports,
    pid: child.pid ?? 0,
    url: (name = 'main') => {
      const port = ports[name];
      if (port === undefined) throw new Error(`${id} has no port ${name}`);
      return `http://127.0.0.1:${port}`;
    },
    kill: (signal = 'SIGTERM') => {
      child.kill(signal);
    },
    waitForExit: async () => waitForExit(child),
  };
};

/** Returns the path of a stand-in's program. */
export const getStandinFile = (name: 'engine' | 'platform' | 'service' | 'store'): string =>
  fileURLToPath(new URL(`./${name}Main.js`, import.meta.url));
