import { LONE_SILENCE_MS, SILENT_SHARE, GROUP_SILENCE_MS, HEARD_MARGIN_MS } from './constants.js';
import type { LinkRecord } from './linkRecord.js';

/** Records of endpoints with requests that get no byte, by service. */
export interface SilentService {
  readonly service: string;
  readonly silentKeys: readonly string[];
}

/** Endpoints of a service that requests wait for. */
interface WaitedFor {
  count: number;
  readonly silentKeys: string[];
  longestMs: number;
}

/**
 * Finds the services whose endpoints with requests are nearly all silent here. One endpoint, or several that nobody
 * hears, have to be silent for longer.
 *
 * @example
 * for (const { silentKeys } of findSilentServices(records, nowMs, getHeardElsewhereAtMs)) verify(silentKeys);
 */
export const findSilentServices = (
  records: ReadonlyMap<string, LinkRecord>,
  nowMs: number,
  getHeardElsewhereAtMs: (key: string) => number,
): SilentService[] => {
  const services = new Map<string, WaitedFor>();
  for (const [key, { service, state, waitingSinceMs }] of records) {
    if (waitingSinceMs === undefined || state.type !== 'reachable') continue;
    const waitedFor = services.get(service) ?? { count: 0, silentKeys: [], longestMs: 0 };
    services.set(service, waitedFor);
    waitedFor.count += 1;
    const silentMs = nowMs - waitingSinceMs;
    if (silentMs < GROUP_SILENCE_MS) continue;
    waitedFor.silentKeys.push(key);
    waitedFor.longestMs = Math.max(waitedFor.longestMs, silentMs);
  }
  const silent: SilentService[] = [];
  for (const [service, { count, silentKeys, longestMs }] of services) {
    if (silentKeys.length === 0 || silentKeys.length < count * SILENT_SHARE) continue;
    const isHeardElsewhere = (key: string): boolean =>
      getHeardElsewhereAtMs(key) > nowMs - GROUP_SILENCE_MS + HEARD_MARGIN_MS;
    const isGroup = silentKeys.length > 1 && silentKeys.some(isHeardElsewhere);
    if (isGroup || longestMs >= LONE_SILENCE_MS) silent.push({ service, silentKeys });
  }
  return silent;
};
