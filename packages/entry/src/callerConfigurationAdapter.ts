import {
  toId,
  type AccountId,
  type ModelId,
  type ServiceId,
  type WeightVersion,
} from '@lovagearch/common';
import type { Account, ConfigurationView, Model, Service } from '@lovagearch/configuration';
import type {
  CallerAccount,
  CallerConfiguration,
  ModelView,
  ServiceView,
} from './callerConfiguration.js';

export interface CallerConfigurationAdapterOptions {
  /** Returns the current view; each revision has its own view. */
  readonly getView: () => ConfigurationView;
  /** Chooses the weight version for a new request to a model. */
  readonly resolveWeightVersion: (model: ModelView) => WeightVersion;
}

const toAccount = ({ name, services, defaultClass }: Account): CallerAccount => ({
  id: toId<AccountId>(name),
  services: services.map((service) => toId<ServiceId>(service)),
  defaultClass,
});

const toService = (service: Service): ServiceView =>
  service.type === 'model'
    ? { ...service, type: 'model', id: toId<ServiceId>(service.name) }
    : { ...service, type: 'plain', id: toId<ServiceId>(service.name) };

const toModel = ({ name, service, weightVersion }: Model): ModelView => ({
  id: toId<ModelId>(name),
  service: toId<ServiceId>(service),
  weightVersion: toId<WeightVersion>(weightVersion),
});

/** Adapts the current configuration view to the interface used by the caller API. */
export class CallerConfigurationAdapter implements CallerConfiguration {
  private constructor(private readonly options: CallerConfigurationAdapterOptions) {}

  static create(options: CallerConfigurationAdapterOptions): CallerConfigurationAdapter {
    return new CallerConfigurationAdapter(options);
  }

  readonly isLoaded = (): boolean => this.view.revision > 0;

  readonly findAccountByKeyHash = (keySha256: string): CallerAccount | undefined => {
    const account = this.view.getAccountByKeyHash(keySha256);
    return account === undefined ? undefined : toAccount(account);
  };

  readonly findService = (name: string): ServiceView | undefined => {
    const service = this.view.getService(name);
    return service === undefined ? undefined : toService(service);
  };

  readonly findModel = (name: string): ModelView | undefined => {
    const model = this.view.getModel(name);
    if (model === undefined) return undefined;
    const view = toModel(model);
    return { ...view, weightVersion: this.options.resolveWeightVersion(view) };
  };

  readonly listModels = (): readonly ModelView[] => this.view.listModels().map(toModel);

  readonly listServices = (): readonly ServiceView[] => this.view.listServices().map(toService);

  private get view(): ConfigurationView {
    return this.options.getView();
  }
}
