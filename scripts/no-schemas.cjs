// Stands in for fastify's compilers of JSON schemas in the bundle, which are half of its code. The gateway's servers
// have no schemas; a route with one fails when the process starts.
module.exports = () => () => {
  throw new Error('routes of this program have no JSON schemas');
};
