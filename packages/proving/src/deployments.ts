import { computeSha256Hex } from '@lovagearch/common';

/** One configuration file, as an operator writes it. */
export interface ConfigurationFile {
  readonly kind: 'account' | 'model' | 'service';
  readonly name: string;
  readonly [field: string]: unknown;
}

/** Returns the key of a test account. */
export const getAccountKey = (account: string): string => `key-of-${account}`;

export const createAccountFile = (
  name: string,
  services: readonly string[],
  overrides: object = {},
): ConfigurationFile => ({
  kind: 'account',
  name,
  keySha256: [computeSha256Hex(getAccountKey(name))],
  services,
  promptTokensPerSecond: 200_000,
  maxConcurrent: 256,
  defaultClass: 'standard',
  ...overrides,
});

export const createModelServiceFile = (
  name: string,
  overrides: object = {},
): ConfigurationFile => ({
  kind: 'service',
  name,
  type: 'model',
  checksCaller: true,
  maxConcurrentLoads: 2,
  kvBytesPerToken: 256,
  prefillTokensPerSecond: 8_000,
  storeBytesPerSecond: 50_000_000,
  policy: { ttftWeight: 1, recomputeWeight: 0.05, linkWeight: 0.001 },
  ...overrides,
});

export const createPlainServiceFile = (
  name: string,
  nonIdempotentPaths: readonly string[],
): ConfigurationFile => ({
  kind: 'service',
  name,
  type: 'plain',
  checksCaller: true,
  routes: nonIdempotentPaths.map((path) => ({
    method: 'POST',
    path,
    idempotent: false,
    timeoutMs: 5_000,
  })),
});

export const createModelFile = (
  name: string,
  service: string,
  weightVersion = 'v1',
): ConfigurationFile => ({ kind: 'model', name, service, weightVersion, minRunners: 1 });
