// Takes the place of the HTTP client's HTTP/2 connections, which are never negotiated.
module.exports = () => {
  throw new Error('HTTP/2 is not supported');
};
