import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { text } from 'node:stream/consumers';

export interface CommandResult {
  readonly exitCode: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a Node.js program to its end. */
export const runCommand = async (
  program: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<CommandResult> => {
  const child = spawn(process.execPath, [program, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...environment },
  });
  const exited = once(child, 'exit');
  const [stdout, stderr] = await Promise.all([text(child.stdout), text(child.stderr)]);
  await exited;
  return { exitCode: child.exitCode, stdout, stderr };
};
