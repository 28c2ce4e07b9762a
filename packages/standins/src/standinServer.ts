import { TerminationSignals } from '@lovagearch/common';
import { fastify, type FastifyInstance } from 'fastify';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';

/** Largest request body, in bytes; the segments of long prompts are large. */
const MAX_BODY_BYTES = 268_435_456;

/** Options that every stand-in takes. */
export const standinOptionsSchema = z.object({
  id: z.string().default('standin'),
  host: z.string().default('127.0.0.1'),
  port: z.number().int().nonnegative().default(0),
});
export type StandinOptions = z.infer<typeof standinOptionsSchema>;

/** Parses the JSON options on the command line; throws on unknown forms, which ends the process. */
export const parseOptions = <Schema extends z.ZodType>(schema: Schema): z.infer<Schema> =>
  schema.parse(JSON.parse(process.argv[2] ?? '{}'));

/** Creates a server that hands bodies of any content type to its handlers as bytes. */
export const createServer = (): FastifyInstance => {
  const app = fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  app.setErrorHandler((_error, _request, reply) =>
    reply.code(400).send({ error: { type: 'bad_request', message: 'malformed', run: 'not_run' } }),
  );
  return app;
};

/** Returns the body bytes of a request. */
export const getBytes = (body: unknown): Buffer => (Buffer.isBuffer(body) ? body : Buffer.alloc(0));

/** Parses a JSON body; throws on any other form, which is answered with 400. */
export const parseBody = <Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.infer<Schema> => schema.parse(JSON.parse(getBytes(body).toString('utf8')));

/**
 * Listens, prints the `listening` line and ends the process on SIGTERM or when the process that
 * started it is gone.
 *
 * @param drain completes when the running work is done; awaited before the server closes
 */
export const startServer = async (
  app: FastifyInstance,
  options: StandinOptions,
  drain: () => Promise<void> = async () => undefined,
): Promise<void> => {
  await app.listen({ host: options.host, port: options.port });
  const { port } = app.server.address() as AddressInfo;
  const stopWithParent = (): void => {
    process.kill(process.pid, 'SIGKILL');
  };
  const stop = async (): Promise<void> => {
    await drain();
    await app.close();
    process.exitCode = 0;
    process.off('disconnect', stopWithParent);
    process.disconnect?.();
  };
  TerminationSignals.create((isRepeated) => {
    if (!isRepeated) stop().catch(stopWithParent);
  });
  process.once('disconnect', stopWithParent);
  process.stdout.write(
    `${JSON.stringify({ event: 'listening', id: options.id, ports: { main: port } })}\n`,
  );
};
