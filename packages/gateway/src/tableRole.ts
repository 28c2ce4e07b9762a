import { getRendezvousOwners } from '@lovagearch/common';
import {
  MAX_FULL_RATE_NODES,
  MIN_ZONE_RELAY_NODES,
  RELAYS_PER_ZONE,
  STORE_READERS_PER_REGION,
} from './constants.js';

/** Prefixes of the rendezvous hashing keys for the choice of readers and relays. */
const READER_KEY = 'tables/readers';
const RELAY_KEY = 'tables/relays';

/** Place of a node, as far as it decides from where the node gets the store's tables. */
export interface TableNode {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
}

/** From where a node gets the store's tables. */
export type TableRole =
  /** Reads the store, for itself and for other nodes of its region. */
  | { readonly type: 'store_reader' }
  /** Copies the tables from the readers of its region, for itself and for other nodes of its zone. */
  | { readonly type: 'zone_relay'; readonly sources: readonly string[] }
  /** Copies the tables from its zone's relays, or from its region's readers if the zone has no relays. */
  | { readonly type: 'follower'; readonly sources: readonly string[] };

export interface TableRoleInput {
  readonly self: TableNode;
  /** All nodes that are assumed to work; `self` may be missing. */
  readonly nodes: readonly TableNode[];
  /** Whether the limits of the deployment leave time for a copy to pass through a relay. */
  readonly hasTimeForRelays: boolean;
}

const listNames = (nodes: readonly TableNode[]): string[] => nodes.map(({ name }) => name);

/**
 * Decides from where a node gets the store's tables. In a small deployment each node reads the store. In a large
 * one, two nodes per region do: a table then crosses the link between regions twice instead of once per node, and
 * the store's calls, which it limits and bills, don't grow with the number of nodes. Within large zones, relays
 * keep the number of nodes that copy from one reader small.
 *
 * @example
 * const role = chooseTableRole({ self, nodes, hasTimeForRelays: true });
 * if (role.type !== 'store_reader') await copyFrom(role.sources);
 */
export const chooseTableRole = ({ self, nodes, hasTimeForRelays }: TableRoleInput): TableRole => {
  const known = nodes.some(({ name }) => name === self.name) ? nodes : [...nodes, self];
  if (known.length <= MAX_FULL_RATE_NODES) return { type: 'store_reader' };
  const regional = known.filter(({ region }) => region === self.region);
  const readers = getRendezvousOwners(
    `${READER_KEY}/${self.region}`,
    listNames(regional),
    STORE_READERS_PER_REGION,
  );
  if (readers.includes(self.name)) return { type: 'store_reader' };
  const zoneNames = listNames(regional.filter(({ zone }) => zone === self.zone));
  if (!hasTimeForRelays || zoneNames.length < MIN_ZONE_RELAY_NODES)
    return { type: 'follower', sources: readers };
  const zoneReaders = readers.filter((name) => zoneNames.includes(name));
  const relays = getRendezvousOwners(
    `${RELAY_KEY}/${self.zone}`,
    zoneNames.filter((name) => !zoneReaders.includes(name)),
    RELAYS_PER_ZONE - zoneReaders.length,
  );
  if (relays.includes(self.name)) return { type: 'zone_relay', sources: readers };
  return { type: 'follower', sources: [...zoneReaders, ...relays] };
};
