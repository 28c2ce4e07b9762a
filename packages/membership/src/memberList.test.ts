import t from 'tap';
import { createRandom, toId, type NodeId, type Random, type Region } from '@lovagearch/common';
import { PROBE_INTERVAL_MS } from './constants.js';
import { MemberList } from './memberList.js';
import type { MemberIdentity } from './memberUpdates.js';

const createIdentity = (index: number, region: string): MemberIdentity => ({
  id: toId(`node-${String(index).padStart(3, '0')}`),
  region: toId(region),
  zone: toId('zone-1'),
  address: `127.0.0.1:${10_000 + index}`,
});

/**
 * Members that probe each other in lockstep over a network with message loss, partitions and frozen
 * nodes.
 */
class Simulation {
  readonly lists = new Map<NodeId, MemberList>();

  readonly down = new Set<NodeId>();

  lossRate = 0;

  isPartitioned = false;

  private nowMs = 0;

  private constructor(
    readonly identities: readonly MemberIdentity[],
    private readonly random: Random,
  ) {}

  static create(seed: number, north: number, south: number): Simulation {
    const identities = Array.from({ length: north + south }, (_, index) =>
      createIdentity(index, index < north ? 'north' : 'south'),
    );
    const simulation = new Simulation(identities, createRandom(seed));
    const listed = new Set(identities.map(({ id }) => id));
    for (const [index, identity] of identities.entries()) {
      const list = MemberList.create(identity, createRandom(seed * 1_000 + index), 0);
      for (const other of identities) list.addDiscovered(other);
      list.setListedIds(listed);
      simulation.lists.set(identity.id, list);
    }
    return simulation;
  }

  /** Counts the states in which running members see the other members. */
  countStates(of: (id: NodeId) => boolean = () => true): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [viewer, list] of this.lists) {
      if (this.down.has(viewer)) continue;
      for (const { id, state } of list.listMembers()) {
        if (id !== viewer && of(id)) counts[state] = (counts[state] ?? 0) + 1;
      }
    }
    return counts;
  }

  runSteps(count: number, check: () => void = () => undefined): void {
    for (let step = 0; step < count; step++) {
      this.nowMs += PROBE_INTERVAL_MS;
      for (const [id, list] of this.lists) {
        if (this.down.has(id)) continue;
        list.checkTimeouts(this.nowMs);
        for (const target of list.chooseProbeTargets()) this.runProbe(id, list, target);
      }
      check();
    }
  }

  private runProbe(self: NodeId, list: MemberList, target: NodeId): void {
    const isAnswered =
      this.exchange(self, target) ||
      list.chooseIndirectProbers(target).some((prober) => {
        const isAlive = this.exchange(self, prober) && this.exchange(prober, target);
        return isAlive && this.exchange(self, prober);
      });
    if (isAnswered) list.recordSuccess(target);
    else list.recordFailure(target);
  }

  private exchange(from: NodeId, to: NodeId): boolean {
    const sender = this.lists.get(from)!;
    const receiver = this.lists.get(to)!;
    if (!this.isDelivered(from, to)) return false;
    receiver.applyUpdates(sender.takeUpdates(to));
    if (!this.isDelivered(to, from)) return false;
    sender.applyUpdates(receiver.takeUpdates(from));
    return true;
  }

  private isDelivered(from: NodeId, to: NodeId): boolean {
    if (this.down.has(from) || this.down.has(to)) return false;
    const isCut = this.getRegion(from) !== this.getRegion(to) && this.isPartitioned;
    return !isCut && this.random() >= this.lossRate;
  }

  private getRegion(id: NodeId): Region {
    return this.identities.find((identity) => identity.id === id)!.region;
  }
}

const SEEDS = [1, 2, 3];

for (const seed of SEEDS) {
  t.test(`seed ${seed}: message loss never makes a running member dead`, async (t2) => {
    const simulation = Simulation.create(seed, 6, 3);
    simulation.lossRate = 0.1;
    simulation.runSteps(3_000, () => {
      const { dead = 0 } = simulation.countStates();
      if (dead > 0) t2.fail(`a running member was declared dead, seed ${seed}`);
    });
  });

  t.test(`seed ${seed}: every member declares only the crashed one dead`, async (t2) => {
    const simulation = Simulation.create(seed, 58, 0);
    simulation.runSteps(5);
    const { id } = simulation.identities[7]!;
    simulation.down.add(id);
    simulation.runSteps(40);
    t2.same(
      simulation.countStates((other) => other === id),
      { dead: 57 },
      `seed ${seed}`,
    );
    t2.same(
      simulation.countStates((other) => other !== id),
      { alive: 57 * 56 },
      `seed ${seed}`,
    );
  });

  t.test(`seed ${seed}: no member is removed in a partition between regions`, async (t2) => {
    const simulation = Simulation.create(seed, 6, 3);
    simulation.isPartitioned = true;
    simulation.runSteps(300);
    t2.same(simulation.countStates(), { alive: 30 + 6, unreachable: 36 }, `seed ${seed}`);
    simulation.isPartitioned = false;
    simulation.runSteps(60);
    t2.same(simulation.countStates(), { alive: 72 }, `seed ${seed}`);
  });

  t.test(`seed ${seed}: a frozen member recovers and declares no other member dead`, async (t2) => {
    const simulation = Simulation.create(seed, 6, 3);
    const { id } = simulation.identities[2]!;
    simulation.runSteps(5);
    simulation.down.add(id);
    simulation.runSteps(20);
    t2.equal(simulation.countStates((other) => other === id).dead, 5, `seed ${seed}`);
    simulation.down.delete(id);
    simulation.runSteps(60, () => {
      const { dead = 0 } = simulation.countStates((other) => other !== id);
      if (dead > 0) t2.fail(`the frozen member made another one dead, seed ${seed}`);
    });
    t2.same(simulation.countStates(), { alive: 72 }, `seed ${seed}`);
  });
}

t.test('a leaving member is not active again when it stops answering', async (t2) => {
  const simulation = Simulation.create(5, 6, 3);
  const { id, region } = simulation.identities[0]!;
  simulation.lists.get(id)!.markSelfLeaving();
  simulation.runSteps(5);
  simulation.down.add(id);
  simulation.runSteps(20, () => {
    for (const [viewer, list] of simulation.lists) {
      const sent = list.takeUpdates(id).find((update) => update.id === id);
      if (sent?.state === 'suspect')
        t2.fail(`${viewer} sends an update that makes the leaving node a suspect member`);
      if (viewer === id || !list.listActive(region).includes(id)) continue;
      t2.fail(`${viewer} lists a node that has left as active`);
    }
  });
  t2.equal(simulation.countStates((other) => other === id).leaving, undefined);
});

t.test('all members see a leaving member and remove it once it is off the VM list', async (t2) => {
  const simulation = Simulation.create(4, 6, 3);
  const { id } = simulation.identities[0]!;
  simulation.lists.get(id)!.markSelfLeaving();
  simulation.runSteps(5);
  t2.same(
    simulation.countStates((other) => other === id),
    { leaving: 8 },
  );
  simulation.down.add(id);
  const listed = new Set(simulation.identities.map((identity) => identity.id));
  listed.delete(id);
  for (const list of simulation.lists.values()) list.setListedIds(listed);
  simulation.runSteps(100);
  t2.same(
    simulation.countStates((other) => other === id),
    {},
  );
});

t.test('every kind of change updates the cached lists', async (t2) => {
  const [self, near, far] = [
    createIdentity(0, 'north'),
    createIdentity(1, 'north'),
    createIdentity(2, 'south'),
  ] as const;
  const list = MemberList.create(self, createRandom(1), 0);
  t2.same(list.listActive(), [self.id]);
  list.addDiscovered(near);
  list.applyUpdates([{ ...far, state: 'alive', incarnation: 0 }]);
  t2.same(list.listActive(), [self.id, near.id, far.id]);
  t2.same(list.listRegions(), ['north', 'south']);
  list.applyUpdates([{ ...near, state: 'dead', incarnation: 0 }]);
  t2.same(list.listActive(self.region), [self.id]);
  list.markSelfLeaving();
  t2.same(list.listActive(), [far.id]);
  t2.equal(list.listMembers()[0]?.state, 'leaving');
});
