import type { PlainServiceView, ServiceRoute } from './callerConfiguration.js';
import { DEFAULT_ROUTE_TIMEOUT_MS } from './callerConstants.js';

const isMatchingPath = (pattern: string, path: string): boolean =>
  pattern.endsWith('/*') ? path.startsWith(pattern.slice(0, -1)) : pattern === path;

/**
 * Finds the declared route of a call; an exact path wins over patterns, and a longer pattern over a
 * shorter one. Calls without a declared route are idempotent if their method is `GET` or `HEAD`.
 *
 * @param path normalized path without query; percent-encoding is decoded, as the endpoint does
 * @example
 * findRoute(ledger, 'POST', '/claims'); // { idempotent: false, timeoutMs: 5000, ... }
 */
export const findRoute = (
  service: PlainServiceView,
  method: string,
  path: string,
): ServiceRoute => {
  const decoded = decodeURIComponent(path);
  let best: ServiceRoute | undefined;
  for (const route of service.routes) {
    if (route.method !== method || !isMatchingPath(route.path, decoded)) continue;
    if (route.path === decoded) return route;
    if (best === undefined || route.path.length > best.path.length) best = route;
  }
  return (
    best ?? {
      method,
      path,
      idempotent: method === 'GET' || method === 'HEAD',
      timeoutMs: DEFAULT_ROUTE_TIMEOUT_MS,
    }
  );
};

const SPACE_CODE = 0x20;
const DELETE_CODE = 0x7f;

const hasControlCharacter = (text: string): boolean => {
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code < SPACE_CODE || code === DELETE_CODE) return true;
  }
  return false;
};

/**
 * Returns whether a path is normalized, so that this process and every endpoint interpret it alike.
 * A path that a server could normalize to a different one might reach a non-idempotent route
 * without matching it here.
 */
export const isNormalizedPath = (path: string): boolean => {
  if (!path.startsWith('/') || path.includes('//') || path.includes('\\')) return false;
  let decoded: string;
  try {
    decoded = decodeURIComponent(path);
  } catch {
    return false;
  }
  if (/%2f|%5c/i.test(path) || hasControlCharacter(decoded)) return false;
  return !decoded.split('/').some((part) => part === '.' || part === '..');
};
