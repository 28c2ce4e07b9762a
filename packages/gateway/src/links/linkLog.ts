import type {
  LinkChange,
  LinkState,
  LinkSuspicion,
  ObservedEndpoint,
} from '@lovagearch/reachability';
import type { GatewayLog } from '../gatewayLog.js';

const getEventName = ({ from, to }: LinkChange): string => {
  switch (to.type) {
    case 'reachable':
      return from.type === 'unanswered' ? 'endpoints_answer_again' : 'endpoint_links_regained';
    case 'refusing':
      return 'endpoint_links_refuse_connections';
    case 'lost':
      return 'endpoint_links_lost';
    case 'unanswered':
      return 'endpoints_unanswered';
    default:
      return to satisfies never;
  }
};

const countBy = (values: readonly string[]): string[] => {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return [...counts].map(([value, count]) => `${value}: ${count}`);
};

/** Returns the least of some ages in milliseconds; undefined if all are infinite. */
const findLeastMs = (agesMs: readonly number[]): number | undefined => {
  const leastMs = Math.min(...agesMs);
  return Number.isFinite(leastMs) ? Math.round(leastMs) : undefined;
};

/** Returns what the state that matters for the change rests on: the new one, or the one that ended. */
const getLostState = ({
  from,
  to,
}: LinkChange): Exclude<LinkState, { type: 'reachable' }> | undefined => {
  if (to.type !== 'reachable') return to;
  return from.type === 'reachable' ? undefined : from;
};

/** Logs which links changed, by service, with what the decision rests on and how old that is. */
export const logLinkChanges = (
  log: GatewayLog,
  changes: readonly LinkChange[],
  observed: readonly ObservedEndpoint[],
  nowMs: number,
): void => {
  const groups = new Map<string, LinkChange[]>();
  for (const change of changes) {
    const name = JSON.stringify([getEventName(change), change.endpoint.service]);
    const group = groups.get(name) ?? [];
    group.push(change);
    groups.set(name, group);
  }
  for (const group of groups.values()) {
    const [first] = group;
    if (first === undefined) continue;
    const { service } = first.endpoint;
    const states = group.map(getLostState).filter((state) => state !== undefined);
    log.logStateChange(getEventName(first), {
      service,
      endpoints: group.length,
      ofEndpoints: observed.filter((endpoint) => endpoint.service === service).length,
      zones: countBy(group.map(({ endpoint }) => endpoint.zone)),
      causes: countBy(states.map(({ cause }) => cause)),
      inferred: group.filter(({ isInferred }) => isInferred).length,
      failingForMs: Math.round(nowMs - Math.min(...states.map(({ sinceMs }) => sinceMs))),
      bytesAgeMs: findLeastMs(group.map(({ bytesAgeMs }) => bytesAgeMs)),
      heardElsewhereAgeMs: findLeastMs(group.map((change) => change.heardElsewhereAgeMs)),
    });
  }
};

/** Logs why a connection to an endpoint is opened without a request. */
export const logLinkSuspicion = (
  log: GatewayLog,
  { endpoint, cause, failingForMs, bytesAgeMs, heardElsewhereAgeMs }: LinkSuspicion,
): void =>
  log.logStateChange('endpoint_link_suspected', {
    endpointStart: endpoint.key,
    service: endpoint.service,
    cause,
    failingForMs: Math.round(failingForMs),
    bytesAgeMs: findLeastMs([bytesAgeMs]),
    heardElsewhereAgeMs: findLeastMs([heardElsewhereAgeMs]),
  });
