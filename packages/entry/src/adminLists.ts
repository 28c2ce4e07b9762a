import type { Region } from '@lovagearch/common';
import type { Account, ConfigurationView } from '@lovagearch/configuration';
import type { AccountUsage, AdmissionController } from './admissionController.js';
import type { StoreUsage, StoreEvictor } from './storeEvictor.js';
import type { EndpointDirectory, StoreView } from './types.js';

/** An account's limits across all nodes and its usage on this node. */
export type AccountStatus = Omit<Account, 'keySha256' | 'kind'> & Omit<AccountUsage, 'account'>;

/** A store VM, with its fill level if this node monitors it. */
export type StoreStatus = StoreView & { readonly fill: StoreUsage | null };

/** Lists the configured accounts with their limits and usage, without key hashes. */
export const listAccounts = (
  view: ConfigurationView,
  admission: AdmissionController,
): AccountStatus[] => {
  const usageByAccount = new Map<string, AccountUsage>();
  for (const usage of admission.listAccountUsage()) usageByAccount.set(usage.account, usage);
  return view.listAccounts().map(({ keySha256, kind, ...account }) => {
    const { running = 0, waiting = 0 } = usageByAccount.get(account.name) ?? {};
    return { ...account, running, waiting };
  });
};

/** Lists the store VMs of all regions. */
export const listStores = (
  regions: readonly Region[],
  directory: EndpointDirectory,
  storeWatch: StoreEvictor,
): StoreStatus[] => {
  const fillByStoreId = new Map(storeWatch.listUsage().map((fill) => [fill.id, fill]));
  return regions
    .flatMap((region) => directory.listStores(region))
    .map((store) => ({ ...store, fill: fillByStoreId.get(store.id) ?? null }));
};
