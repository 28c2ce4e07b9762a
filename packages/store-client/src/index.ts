/**
 * Client of the KV cache store on store VMs. It never moves KV cache itself and never decides what
 * is stored.
 */
export * from './httpStoreClient.js';
export * from './types.js';
