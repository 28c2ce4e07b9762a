import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { MemoryBudget } from '@lovagearch/bounded-http';
import { CallerResponse } from './callerResponse.js';
import {
  MAX_SLOW_CALLER_BYTES,
  MAX_SLOW_CALLER_CHECKS,
  MAX_UNSENT_BYTES,
  SLOW_CALLER_CHECK_MS,
} from './constants.js';

const CHUNK = Buffer.alloc(16_384);
const DISCONNECT_MS = SLOW_CALLER_CHECK_MS * MAX_SLOW_CALLER_CHECKS;

/** A response whose caller takes one written chunk for each call of `take`. */
const createSlowCaller = (memoryBytes: number) => {
  const taken: (() => void)[] = [];
  const fake = {
    destroyed: false,
    writableEnded: false,
    headersSent: true,
    chunkedEncoding: true,
    socket: {},
    req: { socket: new EventEmitter() },
    write: (_: Buffer, onTaken: () => void) => taken.push(onTaken),
    end: () => {
      fake.writableEnded = true;
    },
    destroy: () => {
      fake.destroyed = true;
      while (taken.length > 0) taken.shift()!();
    },
  };
  const memory = MemoryBudget.create(memoryBytes);
  let disconnections = 0;
  const response = CallerResponse.create(fake as unknown as ServerResponse, {
    isDraining: () => false,
    unsentMemory: memory,
    onSlowCaller: () => {
      disconnections += 1;
    },
  });
  let resumptions = 0;
  const fill = () => {
    let bytes = CHUNK.length;
    const handleDrained = () => {
      resumptions += 1;
    };
    while (response.write(CHUNK, handleDrained)) bytes += CHUNK.length;
    return bytes;
  };
  return {
    fake,
    memory,
    response,
    fill,
    take: () => taken.shift()?.(),
    countResumptions: () => resumptions,
    countDisconnections: () => disconnections,
  };
};

// Guards against an engine that holds a slot for a caller that reads slowly.
t.test('a slow caller is buffered for up to the bound, and then is read on in time', async (t2) => {
  const caller = createSlowCaller(10 * MAX_SLOW_CALLER_BYTES);
  t2.equal(caller.fill(), MAX_SLOW_CALLER_BYTES);
  t2.equal(caller.memory.reservedBytes, MAX_SLOW_CALLER_BYTES - MAX_UNSENT_BYTES);
  for (let chunk = 0; chunk < MAX_SLOW_CALLER_BYTES / CHUNK.length / 2; chunk++) {
    t2.equal(caller.countResumptions(), 0);
    caller.take();
  }
  t2.equal(caller.countResumptions(), 1);
  caller.response.abort();
  t2.equal(caller.memory.reservedBytes, 0);
});

// Guards against memory that stays reserved for pipelined responses whose turn never comes.
t.test('the memory is free again when the connection is closed', async (t2) => {
  const caller = createSlowCaller(10 * MAX_SLOW_CALLER_BYTES);
  caller.fill();
  caller.fake.req.socket.emit('close');
  t2.equal(caller.memory.reservedBytes, 0);
  caller.response.abort();
});

// Guards against slow callers that use up the memory of the process.
t.test('without memory a slow caller gets the least buffer', async (t2) => {
  const caller = createSlowCaller(0);
  t2.equal(caller.fill(), MAX_UNSENT_BYTES + CHUNK.length);
  caller.response.abort();
});

// Guards against an engine that is blocked by a caller which never reads, and against callers that are cut although
// they read on, or although their answer is complete.
t.test('only a caller that takes nothing of an unfinished response is let go', async (t2) => {
  const [stuck, slow, complete] = Array.from({ length: 3 }, () => createSlowCaller(0));
  for (const caller of [stuck, slow, complete]) caller!.fill();
  complete!.response.finish();
  const timer = setInterval(() => slow!.take(), DISCONNECT_MS / 4);
  await sleep(DISCONNECT_MS - SLOW_CALLER_CHECK_MS / 2);
  t2.equal(stuck!.fake.destroyed, false);
  await sleep(SLOW_CALLER_CHECK_MS);
  clearInterval(timer);
  t2.equal(stuck!.fake.destroyed, true);
  t2.equal(stuck!.countDisconnections(), 1);
  for (const caller of [slow, complete]) t2.equal(caller!.fake.destroyed, false);
  slow!.response.abort();
});
