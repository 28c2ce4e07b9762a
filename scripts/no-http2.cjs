// Takes the place of Node's HTTP/2 module, which libraries load but the gateway never uses.
module.exports = { constants: {} };
