import { HttpEngineClient } from '@lovagearch/engine-client';
import { HttpObjectClient, HttpTableClient, HttpVmListClient } from '@lovagearch/platform-client';
import { HttpServiceClient } from '@lovagearch/service-client';
import type { ProcessSettings } from '@lovagearch/settings';
import { HttpStoreClient } from '@lovagearch/store-client';
import type { NodeComponent } from './types.js';

/** Creates the clients for all external systems that a node uses. */
export const createNodeClients = ({ platform }: ProcessSettings) => ({
  table: HttpTableClient.create({ url: platform.tableUrl }),
  objects: HttpObjectClient.create({ url: platform.objectUrl }),
  vmList: HttpVmListClient.create({ url: platform.vmListUrl }),
  engines: HttpEngineClient.create(),
  services: HttpServiceClient.create(),
  stores: HttpStoreClient.create(),
});

export type NodeClients = ReturnType<typeof createNodeClients>;

/** Creates the component that closes the clients which the request path does not close itself. */
export const createClientCloser = ({
  table,
  objects,
  vmList,
  stores,
}: NodeClients): NodeComponent => ({
  stop: async () => {
    await Promise.all([table.close(), objects.close(), vmList.close(), stores.close()]);
  },
});
