import type { Region } from '@lovagearch/common';
import type { Account, ConfigurationView } from '@lovagearch/configuration';
import type { AccountUse, AdmissionController } from './admissionController.js';
import type { StoreUsage, StoreEvictor } from './storeEvictor.js';
import type { EndpointDirectory, StoreView } from './types.js';

/** An account's limits across all nodes and its usage on this node. */
export type AccountStatus = Omit<Account, 'keySha256' | 'kind'> & Omit<AccountUse, 'account'>;

/** A store VM, with its fill level if this node monitors it. */
export type StoreStatus = StoreView & { readonly fill: StoreUsage | null };

/** Lists the configured accounts with their limits and usage, without key hashes. */
export const listAccounts = (
  view: ConfigurationView,
  admission: AdmissionController,
): AccountStatus[] => {
  const useByAccount = new Map<string, AccountUse>();
  for (const use of admission.listAccounts()) useByAccount.set(use.account, use);
  return view.listAccounts().map(({ keySha256, kind, ...account }) => {
    const { running = 0, waiting = 0 } = useByAccount.get(account.name) ?? {};
    return { ...account, running, waiting };
  });
};

/** Lists the store VMs of all regions. */
export const listStores = (
  regions: readonly Region[],
  directory: EndpointDirectory,
  watch: StoreEvictor,
): StoreStatus[] => {
  const fills = new Map(watch.listUsage().map((fill) => [fill.id, fill]));
  return regions
    .flatMap((region) => directory.listStores(region))
    .map((store) => ({ ...store, fill: fills.get(store.id) ?? null }));
};
