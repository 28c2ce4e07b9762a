import t from 'tap';
import { toId, type EndpointId } from '@lovagearch/common';
import { isEventRound } from './nodeCacheEvents.js';

t.test('no runner of a large region is left without reads of its cache events', async (t2) => {
  const rounds = [1, 2, 3, 4];
  for (let index = 0; index < 100; index++) {
    const runner = toId<EndpointId>(`runner-${index}`);
    t2.equal(rounds.filter((round) => isEventRound(runner, round, 58)).length, 1);
    t2.equal(rounds.filter((round) => isEventRound(runner, round, 9)).length, 4);
  }
});
