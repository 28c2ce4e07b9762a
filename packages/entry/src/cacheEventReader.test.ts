import t from 'tap';
import { toId, type EndpointId } from '@lovagearch/common';
import { shouldReadCacheEvents } from './cacheEventReader.js';

t.test(
  'cache events of each runner are read in one of 4 rounds in a large region, else in each',
  async (t2) => {
    const rounds = [1, 2, 3, 4];
    for (let index = 0; index < 100; index++) {
      const runner = toId<EndpointId>(`runner-${index}`);
      t2.equal(rounds.filter((round) => shouldReadCacheEvents(runner, round, 58)).length, 1);
      t2.equal(rounds.filter((round) => shouldReadCacheEvents(runner, round, 9)).length, 4);
    }
  },
);
