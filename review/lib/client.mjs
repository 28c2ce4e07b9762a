import { Agent, request as openRequest } from 'node:http';
import { randomBytes } from 'node:crypto';

export const createRequestId = () => randomBytes(8).toString('hex');

/** A client's channel to one gateway, kept open between requests. */
export const createChannel = () => new Agent({ keepAlive: true, maxSockets: 1 });

/**
 * Sends a request and reads its answer. Resolves to the status, headers and text, with `isComplete` false for an
 * answer that was cut, or to `error` if there was none.
 */
export const sendRequest = (
  gateway,
  { agent, record, method = 'GET', path, host, key, timeLimitMs, headers = {}, body = '', id },
) =>
  new Promise((resolve) => {
    const sentAtMs = performance.now();
    record.add(`${id} is sent to ${gateway.name}: ${method} ${path}`);
    const call = openRequest(
      {
        host: gateway.host,
        port: gateway.ports.front,
        method,
        path,
        agent,
        headers: {
          Host: host,
          'X-Lovagearch-Request-Id': id,
          'X-Lovagearch-Request-Deadline': String(timeLimitMs),
          ...(key === undefined ? {} : { 'Api-Key': key }),
          ...headers,
          ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        },
      },
      (incoming) => {
        let text = '';
        const finish = (isComplete) =>
          resolve({
            status: incoming.statusCode,
            headers: incoming.headers,
            text,
            isComplete,
            tookMs: performance.now() - sentAtMs,
          });
        incoming.on('data', (chunk) => {
          text += chunk;
        });
        incoming.once('end', () => finish(incoming.complete));
        incoming.once('error', () => finish(false));
      },
    );
    call.once('error', (error) =>
      resolve({
        error: error.message,
        text: '',
        isComplete: false,
        tookMs: performance.now() - sentAtMs,
      }),
    );
    call.end(body);
  });
