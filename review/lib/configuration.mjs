/** Host of all routes, and the key of the only tenant. */
export const HOST = 'pule25.example';
export const KEY = 'jnbanfqasnmgkcuyj8pj';
export const TENANT = 'bozi300';
export const MODEL = 'daka510000';

const ENGINE = {
  slots: 64,
  kv_capacity_tokens: 166_165,
  kv_token_bytes: 18_432,
  link_mbps: 130_000,
  models: [{ name: MODEL }],
};

/** Creates a route; what `more` names takes the place of the defaults. */
export const createRoute = (name, type, backend, more = {}) => ({
  name,
  host: HOST,
  prefix: `/${name}/`,
  route_type: type,
  backend,
  timeout_ms: 15_000,
  target_latency_ms: 200,
  max_attempts: type === 'non_idempotent' ? 1 : 2,
  priority: 2,
  public: false,
  session_affinity: false,
  resumable: false,
  ...more,
});

/** Creates a config with a plain service `ledger` and an engine service `estimator`. */
export const createConfiguration = (version, routes) => ({
  version,
  routes,
  backends: [
    { name: 'estimator', max_connections: 370, engine: ENGINE },
    { name: 'ledger', max_connections: 110 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: TENANT, api_keys: [KEY], isolated: false }],
});
