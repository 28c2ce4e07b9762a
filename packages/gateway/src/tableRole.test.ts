import t from 'tap';
import {
  MAX_FULL_RATE_NODES,
  MIN_ZONE_RELAY_NODES,
  RELAYS_PER_ZONE,
  STORE_READERS_PER_REGION,
} from './constants.js';
import { chooseTableRole, type TableNode, type TableRole } from './tableRole.js';

const createNodes = (regions: number, zones: number, perZone: number): TableNode[] => {
  const nodes: TableNode[] = [];
  for (let region = 0; region < regions; region++)
    for (let zone = 0; zone < zones; zone++)
      for (let index = 0; index < perZone; index++)
        nodes.push({
          name: `n-${region}-${zone}-${index}`,
          zone: `z-${region}-${zone}`,
          region: `r-${region}`,
        });
  return nodes;
};

const chooseRoles = (nodes: readonly TableNode[], hasTimeForRelays = true) =>
  new Map(
    nodes.map((self): [string, TableRole] => [
      self.name,
      chooseTableRole({ self, nodes, hasTimeForRelays }),
    ]),
  );

const countRoles = (roles: ReadonlyMap<string, TableRole>, type: TableRole['type']) =>
  [...roles.values()].filter((role) => role.type === type).length;

// Guards against store calls and transfers between regions that grow with the number of nodes.
t.test('two nodes of each region read the store, and relays serve large zones', async (t2) => {
  for (const perZone of [MIN_ZONE_RELAY_NODES, 33, 59]) {
    const nodes = createNodes(2, 3, perZone);
    const roles = chooseRoles(nodes);
    t2.equal(countRoles(roles, 'store_reader'), 2 * STORE_READERS_PER_REGION);
    const requestsBySource = new Map<string, number>();
    for (const { name, zone, region } of nodes) {
      const role = roles.get(name);
      if (role === undefined || role.type === 'store_reader') continue;
      for (const source of role.sources) {
        const node = nodes.find((other) => other.name === source);
        t2.equal(node?.region, region, 'no copy crosses the link between regions');
        if (role.type === 'follower') t2.equal(node?.zone, zone, 'a follower copies in its zone');
        else t2.equal(roles.get(source)?.type, 'store_reader', 'a relay copies from a reader');
        requestsBySource.set(source, (requestsBySource.get(source) ?? 0) + 1);
      }
    }
    // A reader serves the followers of its zone and the relays of the others.
    const limit = perZone + RELAYS_PER_ZONE * 3;
    for (const [source, count] of requestsBySource) t2.ok(count <= limit, `${source}: ${count}`);
  }
});

t.test(
  'the role is independent of the order of the nodes, and known without its own row',
  async (t2) => {
    const nodes = createNodes(2, 3, 10);
    const expected = chooseRoles(nodes);
    for (const self of nodes) {
      const others = [...nodes].reverse().filter(({ name }) => name !== self.name);
      t2.same(
        chooseTableRole({ self, nodes: others, hasTimeForRelays: true }).type,
        expected.get(self.name)?.type,
      );
    }
  },
);

t.test('a small deployment needs no readers, and small zones need no relays', async (t2) => {
  const small = createNodes(1, 1, MAX_FULL_RATE_NODES);
  t2.equal(countRoles(chooseRoles(small), 'store_reader'), small.length);
  const smallZones = createNodes(2, 3, 4);
  t2.equal(countRoles(chooseRoles(smallZones), 'zone_relay'), 0);
  t2.equal(countRoles(chooseRoles(createNodes(2, 3, 30), false), 'zone_relay'), 0);
});

// Guards against duties that stay with nodes that are gone.
t.test('readers and relays that are gone are replaced', async (t2) => {
  const nodes = createNodes(1, 2, 20);
  const roles = chooseRoles(nodes);
  const working = nodes.filter(({ name }) => roles.get(name)?.type === 'follower');
  const next = chooseRoles(working);
  t2.equal(countRoles(next, 'store_reader'), STORE_READERS_PER_REGION);
  for (const role of next.values()) {
    if (role.type === 'store_reader') continue;
    for (const source of role.sources) t2.ok(working.some(({ name }) => name === source));
  }
});
