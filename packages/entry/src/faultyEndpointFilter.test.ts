import t from 'tap';
import { toId, type EndpointId, type ServiceId } from '@lovagearch/common';
import { excludeFaultyEndpoints } from './faultyEndpointFilter.js';
import type { EndpointDirectory, EndpointView } from './types.js';

t.test(
  'a faulty endpoint is not listed, and is listed again once it is no longer faulty',
  async (t2) => {
    const [r1, r2] = ['r1', 'r2'].map((id) => toId<EndpointId>(id));
    const faulty = new Set([r1]);
    const directory = {
      listEndpoints: () => [{ id: r1 }, { id: r2 }] as EndpointView[],
      markLeaving: () => t2.fail('a faulty endpoint is not leaving'),
    } as unknown as EndpointDirectory;
    const usableDirectory = excludeFaultyEndpoints(directory, (id) => faulty.has(id));
    const list = () =>
      usableDirectory.listEndpoints(toId<ServiceId>('estimator')).map(({ id }) => id);
    t2.same(list(), [r2]);
    faulty.clear();
    t2.same(list(), [r1, r2]);
  },
);
