/**
 * Client for the control API of the KV cache stores on store VMs. It does not transfer KV cache data and
 * does not decide what is stored.
 */
export * from './httpStoreClient.js';
export * from './types.js';
