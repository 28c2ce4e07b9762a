import { BlockList, isIPv6 } from 'node:net';
import { getErrorMessage, type Logger } from '@lovagearch/common';
import { fastify, type FastifyInstance, type FastifyReply } from 'fastify';
import { computeBearerKeyHash, isHashInList } from './bearerKey.js';

/** Returns the value for one path of the administration API, which is sent as JSON. */
export type AdminReader = () => unknown;

/** Handlers of the administration API; each name is a path below `/v1/`. */
export interface AdminReaders {
  readonly configuration: AdminReader;
  readonly members: AdminReader;
  readonly endpoints: AdminReader;
  readonly stores: AdminReader;
  readonly accounts: AdminReader;
  readonly refusals: AdminReader;
  readonly decisions: (requestId: string | undefined) => unknown;
  readonly runs: AdminReader;
  readonly quarantine: AdminReader;
  readonly metrics: AdminReader;
  readonly node: AdminReader;
}

const PRIVATE_ADDRESSES = new BlockList();
PRIVATE_ADDRESSES.addSubnet('127.0.0.0', 8, 'ipv4');
PRIVATE_ADDRESSES.addSubnet('10.0.0.0', 8, 'ipv4');
PRIVATE_ADDRESSES.addSubnet('172.16.0.0', 12, 'ipv4');
PRIVATE_ADDRESSES.addSubnet('192.168.0.0', 16, 'ipv4');
PRIVATE_ADDRESSES.addAddress('::1', 'ipv6');
PRIVATE_ADDRESSES.addSubnet('fc00::', 7, 'ipv6');

const isPrivateAddress = (address: string | undefined): boolean => {
  if (address === undefined) return false;
  const unmappedAddress = address.startsWith('::ffff:') ? address.slice('::ffff:'.length) : address;
  return PRIVATE_ADDRESSES.check(unmappedAddress, isIPv6(unmappedAddress) ? 'ipv6' : 'ipv4');
};

const sendError = (reply: FastifyReply, status: number, type: string, message: string) =>
  reply.code(status).send({ error: { type, message } });

/** Serves the read-only administration API on its own port. */
export class AdminServer {
  private readonly server: FastifyInstance = fastify({ forceCloseConnections: true });

  private constructor(
    private readonly readers: AdminReaders,
    private readonly operatorKeySha256: readonly string[],
    private readonly log: Logger,
  ) {
    this.addHooks();
    this.addRoutes();
  }

  /** @param operatorKeySha256 SHA-256 hashes of the accepted operator keys, in hexadecimal */
  static create(
    readers: AdminReaders,
    operatorKeySha256: readonly string[],
    log: Logger,
  ): AdminServer {
    return new AdminServer(readers, operatorKeySha256, log);
  }

  /** Starts listening and returns the port. */
  async listen(host: string, port: number): Promise<number> {
    await this.server.listen({ host, port });
    const address = this.server.server.address();
    return typeof address === 'object' && address !== null ? address.port : port;
  }

  async close(): Promise<void> {
    await this.server.close();
  }

  private addHooks(): void {
    this.server.addHook('onRequest', async (request, reply) => {
      if (!isPrivateAddress(request.socket.remoteAddress)) {
        return sendError(reply, 403, 'forbidden', 'access is allowed from private addresses only');
      }
      const hash = computeBearerKeyHash(request.headers.authorization);
      if (hash !== undefined && isHashInList(hash, this.operatorKeySha256)) return undefined;
      return sendError(reply, 401, 'unauthorized', 'missing or unknown operator key');
    });
    this.server.setErrorHandler(async (error, _request, reply) => {
      this.log.warn(`Administration API request failed: ${getErrorMessage(error)}.`);
      return sendError(reply, 500, 'internal', 'the node failed to process the request');
    });
    this.server.setNotFoundHandler(async (_request, reply) =>
      sendError(reply, 404, 'not_found', 'this path does not exist'),
    );
  }

  private addRoutes(): void {
    const { decisions, ...parameterlessReaders } = this.readers;
    for (const [name, read] of Object.entries(parameterlessReaders)) {
      this.server.get(`/v1/${name}`, async () => read());
    }
    this.server.get<{ Querystring: Record<string, unknown> }>('/v1/decisions', async (request) => {
      const requestId = request.query.request_id;
      return { decisions: decisions(typeof requestId === 'string' ? requestId : undefined) };
    });
  }
}
