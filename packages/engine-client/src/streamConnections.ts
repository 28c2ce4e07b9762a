import { type Clock, getErrorMessage, isConnectError } from '@lovagearch/common';
import { err, ok, type Result } from 'neverthrow';
import { Client, type Dispatcher } from 'undici';
import { parseRefusal, readBoundedText } from './answers.js';
import type { StreamSource } from './httpEngineStream.js';
import type { EngineAddress, EngineError } from './types.js';

export interface StreamCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

export interface StreamConnectionOptions {
  readonly connectTimeoutMs: number;
  readonly silenceLimitMs: number;
  readonly maxStreams: number;
  readonly clock: Clock;
}

/** Creates the request headers of a call to a runner. */
export const createHeaders = (address: EngineAddress): Record<string, string> => ({
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
  private readonly clients = new Set<Client>();

  private constructor(private readonly options: StreamConnectionOptions) {}

  static create(options: StreamConnectionOptions): StreamConnections {
    return new StreamConnections(options);
  }

  async open(address: EngineAddress, call: StreamCall): Promise<Result<StreamSource, EngineError>> {
    if (this.clients.size >= this.options.maxStreams) {
      return err({ type: 'not_connected', message: 'too many open streams' });
    }
    const client = this.createClient(address);
    if (client === undefined) return err({ type: 'not_connected', message: 'invalid runner URL' });
    const close = (): void => {
      this.clients.delete(client);
      // The failure of the body is reported by the stream; destroying the client can't fail.
      client.destroy().catch(() => undefined);
    };
    const opened = await this.runCall(client, address, call, close);
    if (opened.isErr()) close();
    return opened;
  }

  async close(): Promise<void> {
    const clients = [...this.clients];
    this.clients.clear();
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
      this.clients.add(client);
      return client;
    } catch {
      return undefined;
    }
  }

  private async runCall(
    client: Client,
    address: EngineAddress,
    call: StreamCall,
    close: () => void,
  ): Promise<Result<StreamSource, EngineError>> {
    const startMs = this.options.clock.nowMs();
    const abort = new AbortController();
    const limitMs = this.options.connectTimeoutMs + this.options.silenceLimitMs;
    const timer = setTimeout(() => abort.abort(), limitMs);
    try {
      const response = await client.request({
        method: call.method,
        path: call.path,
        headers: createHeaders(address),
        body: call.body ?? null,
        reset: true,
        signal: abort.signal,
      });
      if (response.statusCode === 200) return ok({ body: response.body, close });
      return await this.readRefusal(call, response);
    } catch (error) {
      const message = getErrorMessage(error);
      if (isConnectError(error)) return err({ type: 'not_connected', message });
      if (!abort.signal.aborted) return err({ type: 'connection_lost', message });
      return err({ type: 'silent', silentMs: this.options.clock.nowMs() - startMs });
    } finally {
      clearTimeout(timer);
    }
  }

  private async readRefusal(
    call: StreamCall,
    response: Dispatcher.ResponseData,
  ): Promise<Result<never, EngineError>> {
    const text = await readBoundedText(response.body);
    // Only the rejection of a new prompt has to guarantee that nothing ran.
    return err(parseRefusal(response.statusCode, text, call.method === 'POST'));
  }
}
