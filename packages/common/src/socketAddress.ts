import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;

/** An IPv4 address and a port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses `HOST:PORT` with an IPv4 address and a port from 1 to 65535. Host names are rejected, as other
 * writers could cause name lookups with them.
 *
 * @example
 * parseSocketAddress('10.128.0.9:8080'); // { host: '10.128.0.9', port: 8080 }
 * parseSocketAddress('10.128.0.9:99999'); // undefined
 */
export const parseSocketAddress = (text: string): SocketAddress | undefined => {
  const match = /^([\d.]{7,15}):(\d{1,5})$/.exec(text);
  const [, host, portText] = match ?? [];
  if (host === undefined || portText === undefined || !isIPv4(host)) return undefined;
  const port = Number(portText);
  return port >= 1 && port <= MAX_PORT ? { host, port } : undefined;
};
