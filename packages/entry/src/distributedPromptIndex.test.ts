import t from 'tap';
import {
  getRendezvousOwners,
  type AccountId,
  type EndpointId,
  type NodeId,
  type Region,
} from '@lovagearch/common';
import { MemoryMesh, MemoryNetwork } from '@lovagearch/peering';
import { computeBlockKeys } from '@lovagearch/reuse';
import { DistributedPromptIndex } from './distributedPromptIndex.js';
import type { PromptLocation } from './types.js';

const NORTH = 'north' as Region;
const SOUTH = 'south' as Region;
const ACCOUNT = 'jianan-01' as AccountId;

const createNodes = () => {
  const network = MemoryNetwork.create();
  const regions = new Map<Region, NodeId[]>([
    [SOUTH, ['s1', 's2', 's3', 's4', 's5'] as NodeId[]],
    [NORTH, ['n1', 'n2', 'n3'] as NodeId[]],
  ]);
  const nodes = new Map<NodeId, DistributedPromptIndex>();
  for (const [region, members] of regions) {
    for (const member of members) {
      const node = DistributedPromptIndex.create({
        mesh: MemoryMesh.create(member, network),
        region,
        listRegions: () => [...regions.keys()],
        listMembers: (of) => regions.get(of) ?? [],
        getWatchers: (endpoint) => getRendezvousOwners(endpoint, regions.get(SOUTH) ?? [], 2),
      });
      nodes.set(member, node);
    }
  }
  return { network, nodes, regions };
};

const chain = computeBlockKeys(
  { account: ACCOUNT, model: 'crop-8b', weightVersion: 'v1' },
  'acreage of parcel '.repeat(1_000),
);

const createLocation = (depth: number, region: Region): PromptLocation => ({
  kind: 'runner',
  holder: 'runner-1' as EndpointId,
  region,
  depth,
  tailKey: chain[depth - 1] ?? '',
  sha256: '',
  boot: 'b1',
});

t.test('every node finds the location of a prompt that another node reported', async (t2) => {
  const { nodes } = createNodes();
  nodes.get('s1' as NodeId)!.reportPlacement(chain, createLocation(40, SOUTH), ACCOUNT, 0);
  for (const [id, node] of nodes) {
    const [found] = await node.lookup(chain);
    t2.same([found?.holder, found?.depth], ['runner-1', 40], id);
  }
});

t.test('the second owner responds when the first owner is gone', async (t2) => {
  const { network, nodes, regions } = createNodes();
  nodes.get('s1' as NodeId)!.reportPlacement(chain, createLocation(40, SOUTH), ACCOUNT, 0);
  const anchor = chain[31]!;
  const [first, second] = getRendezvousOwners(anchor, regions.get(SOUTH)!, 2);
  network.removeNode(first!);
  const asking = regions.get(SOUTH)!.find((node) => node !== first && node !== second)!;
  t2.equal((await nodes.get(asking)!.lookup(chain)).length, 1);
});

t.test('a leaving node hands its entries over to the next owners', async (t2) => {
  const { network, nodes, regions } = createNodes();
  nodes.get('n1' as NodeId)!.reportPlacement(chain, createLocation(40, SOUTH), ACCOUNT, 0);
  for (const owner of getRendezvousOwners(chain[31]!, regions.get(SOUTH)!, 2)) {
    const rest = regions.get(SOUTH)!.filter((node) => node !== owner);
    regions.set(SOUTH, rest);
    await nodes.get(owner)!.stop();
    network.removeNode(owner);
  }
  const asking = regions.get(SOUTH)![0]!;
  t2.equal((await nodes.get(asking)!.lookup(chain)).length, 1);
});

t.test('a new owner without entries queries the other owner', async (t2) => {
  const { nodes, regions } = createNodes();
  const members = regions.get(SOUTH)!;
  const [joining, staying] = getRendezvousOwners(chain[31]!, members, 2);
  regions.set(
    SOUTH,
    members.filter((node) => node !== joining),
  );
  nodes.get(staying!)!.reportPlacement(chain, createLocation(40, SOUTH), ACCOUNT, 0);
  regions.set(SOUTH, members);
  t2.equal((await nodes.get(joining!)!.lookup(chain)).length, 1);
});

t.test('a lookup returns no locations when the owners are unreachable', async (t2) => {
  const { network, nodes, regions } = createNodes();
  nodes.get('s1' as NodeId)!.reportPlacement(chain, createLocation(40, SOUTH), ACCOUNT, 0);
  for (const a of nodes.keys()) for (const b of nodes.keys()) network.partitionNodes(a, b);
  const owners = getRendezvousOwners(chain[31]!, regions.get(SOUTH)!, 2);
  const asking = regions.get(SOUTH)!.find((node) => !owners.includes(node) && node !== 's1')!;
  t2.same(await nodes.get(asking)!.lookup(chain), []);
});
