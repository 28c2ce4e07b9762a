import { type Clock, getErrorMessage, isConnectError } from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import { Client, type Dispatcher } from 'undici';
import { parseErrorResponse, readBoundedText } from './responses.js';
import type { StreamSource } from './httpEngineStream.js';
import type { EngineAddress, EngineError } from './types.js';

export interface StreamCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

export interface StreamConnectionOptions {
  readonly connectTimeoutMs: number;
  readonly streamIdleTimeoutMs: number;
  readonly maxOpenStreams: number;
  readonly clock: Clock;
}

/** Creates the request headers of a call to a runner. */
export const createRequestHeaders = (address: EngineAddress): Record<string, string> => ({
  'content-type': 'application/json',
  ...(address.serviceToken === undefined
    ? {}
    : { authorization: `Bearer ${address.serviceToken}` }),
});

/**
 * Opens a connection per stream. The runner may have closed a pooled connection, or it may be broken,
 * without this process noticing; a new prompt sent on it would only fail after the idle timeout.
 */
export class StreamConnections {
  private readonly openClients = new Set<Client>();

  private constructor(private readonly options: StreamConnectionOptions) {}

  static create(options: StreamConnectionOptions): StreamConnections {
    return new StreamConnections(options);
  }

  async open(address: EngineAddress, call: StreamCall): Promise<Result<StreamSource, EngineError>> {
    if (this.openClients.size >= this.options.maxOpenStreams) {
      return err({ type: 'not_connected', message: 'too many open streams' });
    }
    const client = this.createClient(address);
    if (client === undefined) return err({ type: 'not_connected', message: 'invalid runner URL' });
    const close = (): void => {
      this.openClients.delete(client);
      // The failure of the body is reported by the stream; destroying the client can't fail.
      client.destroy().catch(() => undefined);
    };
    const opened = await this.sendRequest(client, address, call, close);
    if (opened.isErr()) close();
    return opened;
  }

  async close(): Promise<void> {
    const clients = [...this.openClients];
    this.openClients.clear();
    await Promise.all(clients.map(async (client) => client.destroy()));
  }

  private createClient(address: EngineAddress): Client | undefined {
    try {
      const client = new Client(address.url, {
        pipelining: 1,
        connect: { timeout: this.options.connectTimeoutMs },
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      this.openClients.add(client);
      return client;
    } catch {
      return undefined;
    }
  }

  private async sendRequest(
    client: Client,
    address: EngineAddress,
    call: StreamCall,
    close: () => void,
  ): Promise<Result<StreamSource, EngineError>> {
    const startMs = this.options.clock.nowMs();
    const abortController = new AbortController();
    const timeoutMs = this.options.connectTimeoutMs + this.options.streamIdleTimeoutMs;
    const timer = setTimeout(() => abortController.abort(), timeoutMs);
    try {
      const response = await client.request({
        method: call.method,
        path: call.path,
        headers: createRequestHeaders(address),
        body: call.body ?? null,
        reset: true,
        signal: abortController.signal,
      });
      if (response.statusCode === 200) return ok({ body: response.body, close });
      return await this.readErrorResponse(call, response);
    } catch (error) {
      const message = getErrorMessage(error);
      if (isConnectError(error)) return err({ type: 'not_connected', message });
      if (!abortController.signal.aborted) return err({ type: 'connection_lost', message });
      return err({ type: 'silent', silentMs: this.options.clock.nowMs() - startMs });
    } finally {
      clearTimeout(timer);
    }
  }

  private async readErrorResponse(
    call: StreamCall,
    response: Dispatcher.ResponseData,
  ): Promise<Result<never, EngineError>> {
    const text = await readBoundedText(response.body);
    // Only the rejection of a new prompt has to guarantee that nothing ran.
    return err(parseErrorResponse(response.statusCode, text, call.method === 'POST'));
  }
}
