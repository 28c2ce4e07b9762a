import { registerEngineRoutes } from './engineRoutes.js';
import { engineOptionsSchema } from './engineSchemas.js';
import { EngineStandin } from './engineStandin.js';
import { createServer, parseOptions, startServer } from './standinServer.js';

const options = parseOptions(engineOptionsSchema);
const app = createServer();
const engine = EngineStandin.create(options);
registerEngineRoutes(app, engine);
await startServer(app, options, async () => engine.drain());
