import { z } from 'zod';
import { createServer, parseOptions, standinOptionsSchema, startServer } from './standinServer.js';
import { StoreStandin } from './storeStandin.js';

const optionsSchema = standinOptionsSchema.extend({
  capacityBytes: z.number().int().positive().default(268_435_456),
  /** Transfer rate of reads and writes; 0 sets no limit. */
  bytesPerSecond: z.number().nonnegative().default(0),
});

const options = parseOptions(optionsSchema);
const app = createServer();
StoreStandin.create(app, options);
await startServer(app, options);
