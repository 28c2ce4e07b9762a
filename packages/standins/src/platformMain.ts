import { z } from 'zod';
import { ObjectStandin } from './objectStandin.js';
import { PlatformFaultState } from './platformFaults.js';
import { createServer, parseOptions, standinOptionsSchema, startServer } from './standinServer.js';
import { TableStandin } from './tableStandin.js';
import { VmListStandin, vmSchema } from './vmListStandin.js';
import { WeightStandin } from './weightStandin.js';

const optionsSchema = standinOptionsSchema.extend({
  writesPerSecond: z.number().positive().default(400),
  readsPerSecond: z.number().positive().default(2_000),
  callDelayMs: z.number().nonnegative().default(0),
  vms: z.array(vmSchema).default([]),
  vmListLagMs: z.number().nonnegative().default(0),
  weightReadMs: z.number().nonnegative().default(100),
  maxParallelWeightReads: z.number().int().positive().default(3),
});

const options = parseOptions(optionsSchema);
const app = createServer();
const faults = PlatformFaultState.create(app);
TableStandin.create(app, faults, options);
ObjectStandin.create(app, faults, options.callDelayMs);
VmListStandin.create(app, faults, {
  initial: options.vms,
  lagMs: options.vmListLagMs,
  delayMs: options.callDelayMs,
});
WeightStandin.create(app, {
  readMs: options.weightReadMs,
  maxParallelReads: options.maxParallelWeightReads,
});
await startServer(app, options);
