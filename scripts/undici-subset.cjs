// The parts of undici that the gateway uses, for the bundle. Its index also loads fetch, caches, cookies and
// web sockets, which takes a fifth of the time in which a process starts.
const Agent = require('../packages/exchange/node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../packages/exchange/node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../packages/exchange/node_modules/undici/lib/dispatcher/dispatcher.js');
const Pool = require('../packages/exchange/node_modules/undici/lib/dispatcher/pool.js');
const sendRequest = require('../packages/exchange/node_modules/undici/lib/api/api-request.js');
const errors = require('../packages/exchange/node_modules/undici/lib/core/errors.js');

Dispatcher.prototype.request = sendRequest;

/** Like undici's `request`, for calls that name their dispatcher. */
const request = (url, { dispatcher, ...options }) => {
  const { origin, pathname, search } = new URL(url);
  const method = options.method ?? 'GET';
  return dispatcher.request({ ...options, origin, path: `${pathname}${search}`, method });
};

module.exports = { Agent, Client, Pool, errors, request };
