/* eslint-disable n/no-unsupported-features/node-builtins -- MockTimers is experimental up to
   Node.js 23, but it is the only mock of timers without a further dependency, and only this
   measurement tool uses it. */
import { mock } from 'node:test';
import { setImmediate as waitImmediate } from 'node:timers/promises';

/** Replaces the timers of this process by timers that `runTimers` moves. */
export const startManualTimers = (): void => {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
};

/** Fires the timers that are due within a time and lets their promises settle. */
export const runTimers = async (durationMs: number): Promise<void> => {
  mock.timers.tick(durationMs);
  await waitImmediate();
};

/** Gives the process its own timers back. */
export const stopManualTimers = (): void => mock.timers.reset();
