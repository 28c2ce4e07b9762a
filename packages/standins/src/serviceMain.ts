import { z } from 'zod';
import { ServiceStandin } from './serviceStandin.js';
import { createServer, parseOptions, standinOptionsSchema, startServer } from './standinServer.js';

const optionsSchema = standinOptionsSchema.extend({
  minDrainMs: z.number().nonnegative().default(0),
  checksCaller: z.boolean().default(false),
  serviceToken: z.string().default(''),
});

const options = parseOptions(optionsSchema);
const app = createServer();
const service = ServiceStandin.create(app, options);
await startServer(app, options, async () => service.drain());
