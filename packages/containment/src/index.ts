/**
 * Attribution and quarantine of requests that crash endpoints.
 */
export {};
