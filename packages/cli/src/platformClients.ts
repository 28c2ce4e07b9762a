import {
  HttpObjectClient,
  HttpTableClient,
  HttpVmListClient,
  type ObjectClient,
  type TableClient,
  type VmListClient,
} from '@lovagearch/platform-client';
import type { Settings } from '@lovagearch/settings';

/** Clients of the platform's services; `close` closes their connections. */
export interface PlatformClients {
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly vmList: VmListClient;
  readonly close: () => Promise<void>;
}

/** Creates clients for the platform URLs in the settings. */
export const createPlatformClients = ({ platform }: Settings): PlatformClients => {
  const table = HttpTableClient.create({ url: platform.tableUrl });
  const objects = HttpObjectClient.create({ url: platform.objectUrl });
  const vmList = HttpVmListClient.create({ url: platform.vmListUrl });
  const close = async () => {
    await Promise.all([table.close(), objects.close(), vmList.close()]);
  };
  return { table, objects, vmList, close };
};
