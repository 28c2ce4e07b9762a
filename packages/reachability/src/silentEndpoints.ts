import {
  MIN_SILENT_UNHEARD,
  LONE_SILENCE_MS,
  SILENT_SHARE,
  GROUP_SILENCE_MS,
  HEARD_MARGIN_MS,
} from './constants.js';
import type { LinkRecord } from './linkRecord.js';

/** Endpoints of a service that requests wait for. */
interface WaitedFor {
  count: number;
  readonly silent: { readonly key: string; readonly silentMs: number }[];
}

/**
 * Finds endpoints whose silence here is suspicious: nearly all of a service that have requests, or single ones that are
 * silent for longer while peers hear them. Where nobody hears a few, they have to be silent for as long.
 *
 * @example
 * for (const key of findSilentEndpoints(records, nowMs, getHeardElsewhereAtMs)) verify(key);
 */
export const findSilentEndpoints = (
  records: ReadonlyMap<string, LinkRecord>,
  nowMs: number,
  getHeardElsewhereAtMs: (key: string) => number,
): string[] => {
  const services = new Map<string, WaitedFor>();
  for (const [key, { service, state, waitingSinceMs }] of records) {
    if (waitingSinceMs === undefined || state.type !== 'reachable') continue;
    const waitedFor = services.get(service) ?? { count: 0, silent: [] };
    services.set(service, waitedFor);
    waitedFor.count += 1;
    const silentMs = nowMs - waitingSinceMs;
    if (silentMs >= GROUP_SILENCE_MS) waitedFor.silent.push({ key, silentMs });
  }
  const isHeardElsewhere = (key: string): boolean =>
    getHeardElsewhereAtMs(key) > nowMs - GROUP_SILENCE_MS + HEARD_MARGIN_MS;
  const suspicious: string[] = [];
  for (const { count, silent } of services.values()) {
    if (silent.length === 0) continue;
    const isGroup = silent.length >= count * SILENT_SHARE;
    const isGroupSuspicious =
      silent.length >= MIN_SILENT_UNHEARD ||
      (silent.length > 1 && silent.some(({ key }) => isHeardElsewhere(key)));
    for (const { key, silentMs } of silent) {
      const isLong = silentMs >= LONE_SILENCE_MS;
      if (isGroup ? isGroupSuspicious || isLong : isLong && isHeardElsewhere(key))
        suspicious.push(key);
    }
  }
  return suspicious;
};
