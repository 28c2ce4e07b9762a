import { readFile } from 'node:fs/promises';

/** Clock ticks a second in /proc; fixed on Linux. */
const TICKS_PER_SECOND = 100;
/** Positions of utime and stime behind the command name in /proc/PID/stat. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Reads the processor time that a process has used, in seconds. */
export const readProcessorSeconds = async (pid: number): Promise<number> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return ticks / TICKS_PER_SECOND;
};

/** Sums the processor time of several processes, in seconds. */
export const readTotalSeconds = async (pids: readonly number[]): Promise<number> => {
  let seconds = 0;
  for (const pid of pids) seconds += await readProcessorSeconds(pid);
  return seconds;
};
